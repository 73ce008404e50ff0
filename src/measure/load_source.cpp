#include "measure/load_source.h"

#include <algorithm>
#include <cmath>

namespace burdockring {
namespace {

constexpr Duration kRetryPause = 100ms;
constexpr Duration kRamp = 200ms;

} // namespace

auto LoadSource::Draw() -> double
{
  // A fixed formula, as the library's distributions may differ by version.
  return static_cast<double>(random_() >> 11U) / 9007199254740992.0;
}

auto LoadSource::IsBacklogged(int aAccount) const -> bool
{
  return aAccount < scenario_->backlogged_;
}

auto LoadSource::DrawTokens(int aAccount) -> int
{
  const auto factor = aAccount % 4 == 3 ? scenario_->longFactor_ : 1.0;
  const auto drawn = -std::log(1.0 - Draw()) * scenario_->meanTokens_ * factor;
  return std::clamp(static_cast<int>(drawn) + 1, 1, scenario_->maxTokens_);
}

auto LoadSource::ChooseRouter(int aAccount) -> int
{
  const auto routers = scenario_->routers_;
  const auto zones = scenario_->zones_;
  int first = static_cast<int>(Draw() * routers);
  int step = 1;
  if (scenario_->spread_ == Spread::kOneRouter ||
      (scenario_->spread_ == Spread::kSkewed && aAccount == 0)) {
    first = 0;
  }
  if (scenario_->spread_ == Spread::kZonePerAccount) {
    const int perZone = (routers - 1 - aAccount % zones) / zones + 1;
    first = aAccount % zones + zones * static_cast<int>(Draw() * perZone);
    step = zones;
  }
  for (int tries = 0; tries < routers; ++tries) {
    if (model_->IsUp(first)) {
      return first;
    }
    first += step;
    if (first >= routers) {
      first = step == 1 ? 0 : aAccount % zones;
    }
  }
  return first;
}

auto LoadSource::SubmitNew(int aAccount) -> void
{
  SimRequest request;
  request.id_ = nextId_++;
  request.account_ = aAccount;
  request.router_ = ChooseRouter(aAccount);
  request.tokens_ = DrawTokens(aAccount);
  const auto error =
    aAccount % 2 == 0 ? scenario_->hintError_ : 1.0 / scenario_->hintError_;
  request.hint_ = std::max(1.0, request.tokens_ * error);
  if (!model_->IsUp(request.router_)) {
    queue_->After(kRetryPause, [this, aAccount] { SubmitNew(aAccount); });
    return;
  }
  ++counts_.submitted_;
  phases_[request.id_] = Phase::kWaiting;
  meter_->AddWaiting(aAccount, 1, queue_->Now());
  if (!IsBacklogged(aAccount)) {
    lightSince_[request.id_] = queue_->Now();
  }
  model_->Submit(request);
}

auto LoadSource::SubmitLight(int aAccount) -> void
{
  const auto gap = -std::log(1.0 - Draw()) / scenario_->lightRate_;
  queue_->After(
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
    [this, aAccount] {
      SubmitNew(aAccount);
      SubmitLight(aAccount);
    });
}

LoadSource::LoadSource(EventQueue* aQueue,
                       const Scenario* aScenario,
                       FairnessMeter* aMeter,
                       std::uint64_t aSeed)
  : queue_(aQueue)
  , scenario_(aScenario)
  , meter_(aMeter)
  , random_(aSeed)
{
}

auto LoadSource::Start(SharingModel* aModel) -> void
{
  model_ = aModel;
  for (int account = 0; account < scenario_->accounts_; ++account) {
    if (!IsBacklogged(account)) {
      SubmitLight(account);
      continue;
    }
    const int count =
      scenario_->outstanding_ * (account == 0 ? scenario_->flood_ : 1);
    for (int i = 0; i < count; ++i) {
      const auto start = std::chrono::duration_cast<Duration>(kRamp * Draw());
      queue_->After(start, [this, account] { SubmitNew(account); });
    }
  }
}

auto LoadSource::OnStarted(const SimRequest& aRequest) -> void
{
  const auto found = phases_.find(aRequest.id_);
  if (found == phases_.end() || found->second == Phase::kRunning) {
    return;
  }
  found->second = Phase::kRunning;
  meter_->AddWaiting(aRequest.account_, -1, queue_->Now());
  const auto light = lightSince_.find(aRequest.id_);
  if (light != lightSince_.end()) {
    lightWaits_.push_back(
      std::chrono::duration<double>(queue_->Now() - light->second).count());
    lightSince_.erase(light);
  }
}

auto LoadSource::OnRequeued(const SimRequest& aRequest) -> void
{
  const auto found = phases_.find(aRequest.id_);
  if (found != phases_.end() && found->second == Phase::kRunning) {
    found->second = Phase::kWaiting;
    meter_->AddWaiting(aRequest.account_, 1, queue_->Now());
  }
}

auto LoadSource::OnService(const SimRequest& aRequest, int aTokens) -> void
{
  counts_.tokens_ += aTokens;
  meter_->AddService(aRequest.account_, aTokens);
}

auto LoadSource::OnAnswer(const SimRequest& aRequest,
                          const std::optional<Response>& aAnswer) -> void
{
  const auto found = phases_.find(aRequest.id_);
  if (found != phases_.end()) {
    if (found->second == Phase::kWaiting) {
      meter_->AddWaiting(aRequest.account_, -1, queue_->Now());
    }
    phases_.erase(found);
  }
  lightSince_.erase(aRequest.id_);
  const bool whole = aAnswer && aAnswer->runState_ == RunState::kWhole;
  if (!aAnswer) {
    ++counts_.routerLost_;
  } else if (whole) {
    ++counts_.whole_;
  } else if (aAnswer->runState_ == RunState::kNotRun) {
    ++counts_.notRun_;
  } else {
    ++counts_.unknown_;
  }
  if (!IsBacklogged(aRequest.account_)) {
    return;
  }
  const auto pause = whole ? 0us : kRetryPause;
  queue_->After(pause,
                [this, account = aRequest.account_] { SubmitNew(account); });
}

auto LoadSource::Counts() const -> const LoadCounts&
{
  return counts_;
}

auto LoadSource::LightWait(double aPercent) const -> double
{
  if (lightWaits_.empty()) {
    return 0;
  }
  auto waits = lightWaits_;
  const auto place = static_cast<std::ptrdiff_t>(
    aPercent / 100.0 * static_cast<double>(waits.size() - 1));
  std::nth_element(waits.begin(), waits.begin() + place, waits.end());
  return waits[static_cast<std::size_t>(place)];
}

} // namespace burdockring
