#ifndef BURDOCKRING_MEASURE_LOAD_SOURCE_H
#define BURDOCKRING_MEASURE_LOAD_SOURCE_H

#include "measure/event_queue.h"
#include "measure/fairness_meter.h"
#include "measure/scenario.h"
#include "measure/sim_fleet.h"
#include "measure/sim_request.h"

#include <map>
#include <random>
#include <vector>

namespace burdockring {

/// What became of the requests of a run.
struct LoadCounts
{
  std::int64_t submitted_ = 0;
  std::int64_t whole_ = 0;
  std::int64_t notRun_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t routerLost_ = 0;
  std::int64_t tokens_ = 0;
};

/// Callers on virtual time: backlogged accounts keep a number of requests
/// outstanding, light ones send at a rate. Feeds the meter.
class LoadSource : public RequestObserver
{
  enum class Phase
  {
    kWaiting,
    kRunning,
  };

  EventQueue* queue_;
  const Scenario* scenario_;
  FairnessMeter* meter_;
  SharingModel* model_ = nullptr;
  std::mt19937_64 random_;
  RequestId nextId_ = 1;
  std::map<RequestId, Phase> phases_;
  LoadCounts counts_;
  std::vector<double> lightWaits_;
  std::map<RequestId, Instant> lightSince_;

  auto Draw() -> double;
  auto SubmitNew(int aAccount) -> void;
  auto SubmitLight(int aAccount) -> void;
  auto ChooseRouter(int aAccount) -> int;
  auto DrawTokens(int aAccount) -> int;
  [[nodiscard]] auto IsBacklogged(int aAccount) const -> bool;

public:
  LoadSource(EventQueue* aQueue,
             const Scenario* aScenario,
             FairnessMeter* aMeter,
             std::uint64_t aSeed);

  /// Begins to send to the model.
  auto Start(SharingModel* aModel) -> void;

  auto OnStarted(const SimRequest& aRequest) -> void override;
  auto OnRequeued(const SimRequest& aRequest) -> void override;
  auto OnService(const SimRequest& aRequest, int aTokens) -> void override;
  auto OnAnswer(const SimRequest& aRequest,
                const std::optional<Response>& aAnswer) -> void override;

  [[nodiscard]] auto Counts() const -> const LoadCounts&;
  /// Seconds that requests of light accounts waited, at a percentile.
  [[nodiscard]] auto LightWait(double aPercent) const -> double;
};

} // namespace burdockring

#endif
