#ifndef BURDOCKRING_TESTS_SOAK_SOAK_CALLERS_H
#define BURDOCKRING_TESTS_SOAK_SOAK_CALLERS_H

#include "soak/soak_fleet.h"

#include <atomic>
#include <thread>
#include <vector>

namespace burdockring {

/// Callers that keep their connections, each on a thread: every attempt has an
/// id of its own, and what became of it goes into the book.
class SoakCallers
{
  SoakFleet* fleet_;
  PromiseBook* book_;
  std::atomic<bool> stop_{ false };
  std::vector<std::thread> threads_;

  auto Run(int aCaller) -> void;

public:
  SoakCallers(SoakFleet* aFleet, PromiseBook* aBook);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  auto operator=(const SoakCallers&) -> SoakCallers& = delete;

  auto Stop() -> void;
};

} // namespace burdockring

#endif
