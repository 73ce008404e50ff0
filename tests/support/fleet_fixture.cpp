#include "support/fleet_fixture.h"

#include "process/claims/claim_key.h"

namespace burdockring {
namespace {

constexpr Duration kStartTime = 3s;

} // namespace

auto AnswerRecorder::OnStarted(const SimRequest& /*aRequest*/) -> void {}

auto AnswerRecorder::OnRequeued(const SimRequest& /*aRequest*/) -> void {}

auto AnswerRecorder::OnService(const SimRequest& aRequest, int aTokens) -> void
{
  tokens_[aRequest.id_] += aTokens;
}

auto AnswerRecorder::OnAnswer(const SimRequest& aRequest,
                              const std::optional<Response>& aAnswer) -> void
{
  answers_[aRequest.id_] = aAnswer;
  ++answerCounts_[aRequest.id_];
}

FleetFixture::FleetFixture(const FleetLayout& aLayout,
                           const NodeOptions& aOptions)
  : fleet_(&queue_, aLayout, aOptions, &recorder_)
{
  fleet_.Start();
  Run(kStartTime);
}

auto FleetFixture::Run(Duration aLength) -> void
{
  queue_.RunUntil(queue_.Now() + aLength);
}

auto FleetFixture::MakeRequest(int aAccount, int aRouter, int aTokens)
  -> SimRequest
{
  SimRequest request;
  request.id_ = nextId_++;
  request.account_ = aAccount;
  request.router_ = aRouter;
  request.tokens_ = aTokens;
  request.hint_ = aTokens;
  return request;
}

auto FleetFixture::MakeKey() -> std::string
{
  return MakeUuid7(fleet_.WallNow(), nextKey_++, 0);
}

auto FleetFixture::Submit(const SimRequest& aRequest) -> void
{
  fleet_.Submit(aRequest);
}

auto FleetFixture::RunStateOf(RequestId aId) const -> std::optional<RunState>
{
  const auto found = recorder_.answers_.find(aId);
  if (found == recorder_.answers_.end() || !found->second) {
    return std::nullopt;
  }
  return found->second->runState_;
}

auto FleetFixture::CodeOf(RequestId aId) const -> std::optional<ResponseCode>
{
  const auto found = recorder_.answers_.find(aId);
  if (found == recorder_.answers_.end() || !found->second) {
    return std::nullopt;
  }
  return found->second->code_;
}

} // namespace burdockring
