#ifndef BURDOCKRING_TESTS_SUPPORT_BATCH_ENGINE_H
#define BURDOCKRING_TESTS_SUPPORT_BATCH_ENGINE_H

#include "base/time.h"
#include "request/request_metadata.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace burdockring {

/// Figures of an engine that runs its requests in steps of one batch.
struct BatchFigures
{
  /// Time of a step: without requests, and for each running one.
  Duration baseStep_ = 3ms;
  Duration slotStep_ = 100us;
  double readTokensPerMs_ = 112;
  /// Most prompt tokens that one step reads.
  int chunkTokens_ = 4096;
  int tokensPerEvent_ = 8;
};

/// A request at an engine.
struct BatchJob
{
  std::int64_t id_ = 0;
  int promptTokens_ = 0;
  int outputTokens_ = 0;
  std::vector<PromptPart> parts_;
};

/// An event that a step completed.
struct BatchEvent
{
  std::int64_t id_ = 0;
  bool isLast_ = false;
};

/// Model of an engine's batch. A step generates one token for each running
/// request and reads a chunk of the prompts that wait, in order of arrival. A
/// prompt part that was read before is cached for good.
class BatchEngine
{
  struct Running
  {
    std::int64_t id_ = 0;
    int tokensLeft_ = 0;
    int tokensInEvent_ = 0;
  };

  struct Waiting
  {
    BatchJob job_;
    /// Unset until the engine begins to read the prompt.
    std::optional<int> tokensLeft_;
  };

  BatchFigures figures_;
  std::deque<Waiting> waiting_;
  std::vector<Running> running_;
  /// Requests whose prompt the current step finishes.
  std::vector<BatchJob> finishing_;
  std::set<std::uint64_t> cached_;
  std::optional<Instant> stepEnd_;
  std::int64_t tokensRead_ = 0;

  [[nodiscard]] auto UncachedTokens(const BatchJob& aJob) const -> int;
  /// Takes a chunk off the waiting prompts; returns its tokens.
  auto TakeChunk() -> int;
  auto BeginStep(Instant aNow) -> void;

public:
  explicit BatchEngine(const BatchFigures& aFigures);

  auto Add(BatchJob aJob, Instant aNow) -> void;
  /// When the current step ends; empty if the engine is idle.
  [[nodiscard]] auto StepEnd() const -> std::optional<Instant>;
  /// Ends the current step and begins the next.
  auto EndStep() -> std::vector<BatchEvent>;
  [[nodiscard]] auto TokensRead() const -> std::int64_t;
};

} // namespace burdockring

#endif
