#ifndef BURDOCKRING_MEASURE_SIM_REQUEST_H
#define BURDOCKRING_MEASURE_SIM_REQUEST_H

#include "base/ids.h"
#include "process/sharing/fair_queue.h"
#include "request/response.h"

#include <optional>
#include <string>

namespace burdockring {

/// A request of the simulated load.
struct SimRequest
{
  RequestId id_ = 0;
  int account_ = 0;
  int router_ = 0;
  int tokens_ = 1;
  double hint_ = 1;
  RequestClass class_ = RequestClass::kInteractive;
  std::string key_;
};

/// Hears how requests fare, from whatever shares the capacity out.
class RequestObserver
{
public:
  RequestObserver() = default;
  virtual ~RequestObserver() = default;
  RequestObserver(const RequestObserver&) = delete;
  auto operator=(const RequestObserver&) -> RequestObserver& = delete;

  /// The request no longer waits.
  virtual auto OnStarted(const SimRequest& aRequest) -> void = 0;
  /// The request waits again.
  virtual auto OnRequeued(const SimRequest& aRequest) -> void = 0;
  virtual auto OnService(const SimRequest& aRequest, int aTokens) -> void = 0;
  /// The caller has its last word; none where its router died.
  virtual auto OnAnswer(const SimRequest& aRequest,
                        const std::optional<Response>& aAnswer) -> void = 0;
};

} // namespace burdockring

#endif
