#ifndef BURDOCKRING_MEASURE_SIM_TARGET_H
#define BURDOCKRING_MEASURE_SIM_TARGET_H

#include "measure/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace burdockring {

/// Names one attempt at a target.
struct RunId
{
  int router_ = 0;
  std::int64_t epoch_ = 0;
  std::uint64_t request_ = 0;
  int attempt_ = 0;

  auto operator<=>(const RunId&) const = default;
};

/// A fake engine: runs up to a number of attempts at once and queues the rest.
class SimTarget
{
  struct Run
  {
    int from_ = 0;
    int tokens_ = 0;
    int done_ = 0;
    std::uint64_t generation_ = 0;
  };

  EventQueue* queue_;
  int capacity_;
  Duration timePerToken_;
  double slowFactor_ = 1.0;
  std::map<RunId, Run> running_;
  std::deque<std::pair<RunId, Run>> waiting_;
  std::uint64_t nextGeneration_ = 1;
  int mostAdmitted_ = 0;
  Instant lastBegin_{};

  auto StartNext() -> void;
  auto Step(RunId aId, std::uint64_t aGeneration) -> void;

public:
  /// Tokens were produced; the second number is the answer's total so far.
  std::function<void(const RunId&, int aNew, int aTotal)> onTokens_;
  std::function<void(const RunId&, int aTotal)> onEnd_;
  bool leaving_ = false;
  bool dead_ = false;

  SimTarget(EventQueue* aQueue, int aCapacity, Duration aTimePerToken);

  auto Begin(const RunId& aId, int aFrom, int aTokens) -> void;
  auto Cancel(const RunId& aId) -> void;
  /// Ends every attempt of a router's life.
  auto CancelRouter(int aRouter, std::int64_t aEpoch) -> void;
  auto SetSlow(double aFactor) -> void;
  [[nodiscard]] auto Running() const -> int;
  [[nodiscard]] auto Capacity() const -> int;
  /// The most attempts that it had taken in at once.
  [[nodiscard]] auto MostAdmitted() const -> int;
  [[nodiscard]] auto LastBegin() const -> Instant;
};

} // namespace burdockring

#endif
