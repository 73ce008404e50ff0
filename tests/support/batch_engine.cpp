#include "support/batch_engine.h"

#include <algorithm>
#include <utility>

namespace burdockring {

auto BatchEngine::UncachedTokens(const BatchJob& aJob) const -> int
{
  int cached = 0;
  for (const auto& part : aJob.parts_) {
    if (!cached_.contains(part.id_)) {
      break;
    }
    cached += part.tokens_;
  }
  return std::max(1, aJob.promptTokens_ - cached);
}

auto BatchEngine::TakeChunk() -> int
{
  int chunk = 0;
  while (!waiting_.empty() && chunk < figures_.chunkTokens_) {
    auto& first = waiting_.front();
    if (!first.tokensLeft_) {
      first.tokensLeft_ = UncachedTokens(first.job_);
    }
    const int taken =
      std::min(*first.tokensLeft_, figures_.chunkTokens_ - chunk);
    chunk += taken;
    *first.tokensLeft_ -= taken;
    if (*first.tokensLeft_ > 0) {
      break;
    }
    for (const auto& part : first.job_.parts_) {
      cached_.insert(part.id_);
    }
    finishing_.push_back(std::move(first.job_));
    waiting_.pop_front();
  }
  return chunk;
}

auto BatchEngine::BeginStep(Instant aNow) -> void
{
  if (waiting_.empty() && running_.empty()) {
    stepEnd_.reset();
    return;
  }
  const int chunk = TakeChunk();
  tokensRead_ += chunk;
  const double readMs = chunk / figures_.readTokensPerMs_;
  const auto read = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(readMs));
  stepEnd_ = aNow + figures_.baseStep_ +
             figures_.slotStep_ * static_cast<int>(running_.size()) + read;
}

BatchEngine::BatchEngine(const BatchFigures& aFigures)
  : figures_(aFigures)
{
}

auto BatchEngine::Add(BatchJob aJob, Instant aNow) -> void
{
  waiting_.push_back({ std::move(aJob), std::nullopt });
  if (!stepEnd_) {
    BeginStep(aNow);
  }
}

auto BatchEngine::StepEnd() const -> std::optional<Instant>
{
  return stepEnd_;
}

auto BatchEngine::EndStep() -> std::vector<BatchEvent>
{
  // A prompt's last step also gives its first token.
  for (const auto& job : finishing_) {
    running_.push_back({ job.id_, std::max(1, job.outputTokens_), 0 });
  }
  finishing_.clear();
  std::vector<BatchEvent> events;
  for (auto& running : running_) {
    --running.tokensLeft_;
    ++running.tokensInEvent_;
    const bool isLast = running.tokensLeft_ == 0;
    if (isLast || running.tokensInEvent_ == figures_.tokensPerEvent_) {
      running.tokensInEvent_ = 0;
      events.push_back({ running.id_, isLast });
    }
  }
  std::erase_if(running_, [](const Running& aRunning) {
    return aRunning.tokensLeft_ == 0;
  });
  BeginStep(*stepEnd_);
  return events;
}

auto BatchEngine::TokensRead() const -> std::int64_t
{
  return tokensRead_;
}

} // namespace burdockring
