#ifndef BURDOCKRING_TESTS_SUPPORT_FLEET_FIXTURE_H
#define BURDOCKRING_TESTS_SUPPORT_FLEET_FIXTURE_H

#include "measure/sim_fleet.h"

#include <map>
#include <optional>

namespace burdockring {

/// Remembers each request's last word.
class AnswerRecorder : public RequestObserver
{
public:
  std::map<RequestId, std::optional<Response>> answers_;
  std::map<RequestId, int> answerCounts_;
  std::map<RequestId, int> tokens_;

  auto OnStarted(const SimRequest& aRequest) -> void override;
  auto OnRequeued(const SimRequest& aRequest) -> void override;
  auto OnService(const SimRequest& aRequest, int aTokens) -> void override;
  auto OnAnswer(const SimRequest& aRequest,
                const std::optional<Response>& aAnswer) -> void override;
};

/// A started fleet on virtual time, with the router's own decisions.
struct FleetFixture
{
  EventQueue queue_;
  AnswerRecorder recorder_;
  SimFleet fleet_;
  RequestId nextId_ = 1;
  std::uint64_t nextKey_ = 1;

  explicit FleetFixture(const FleetLayout& aLayout,
                        const NodeOptions& aOptions = {});

  auto Run(Duration aLength) -> void;
  /// A request that is not submitted yet.
  auto MakeRequest(int aAccount, int aRouter, int aTokens) -> SimRequest;
  auto MakeKey() -> std::string;
  auto Submit(const SimRequest& aRequest) -> void;
  /// The run state that the caller was told, or none so far.
  [[nodiscard]] auto RunStateOf(RequestId aId) const -> std::optional<RunState>;
  [[nodiscard]] auto CodeOf(RequestId aId) const -> std::optional<ResponseCode>;
};

} // namespace burdockring

#endif
