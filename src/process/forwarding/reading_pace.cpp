#include "process/forwarding/reading_pace.h"

#include <algorithm>

namespace burdockring {
namespace {

constexpr double kMsPerSecond = 1000.0;

auto ToMs(Duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

auto ReadingPace::SetStart(double aTokensPerSecond, int aEngines) -> void
{
  if (aTokensPerSecond <= 0 || aEngines <= 0) {
    return;
  }
  const double start =
    std::clamp(kMsPerSecond * aEngines / aTokensPerSecond, kLeastMs, kMostMs);
  const double learned = msPerToken_ / start_;
  start_ = start;
  msPerToken_ = start * learned;
}

auto ReadingPace::MoveTo(double aSample, double* aEstimate) -> void
{
  *aEstimate *= aSample > *aEstimate ? 1 + kStep : 1 - kStep;
}

auto ReadingPace::Learn(int aTokens, Duration aTime) -> std::optional<double>
{
  const bool isLong = aTokens > medianTokens_;
  MoveTo(aTokens, &medianTokens_);
  if (!isLong) {
    MoveTo(ToMs(aTime) - aTokens * msPerToken_, &firstMs_);
    firstMs_ = std::clamp(firstMs_, kLeastFirstMs, kMostFirstMs);
    return std::nullopt;
  }
  const double sample = std::max(0.0, ToMs(aTime) - firstMs_) / aTokens;
  MoveTo(sample, &msPerToken_);
  msPerToken_ = std::clamp(msPerToken_, kLeastMs, kMostMs);
  return sample;
}

auto ReadingPace::MsPerToken() const -> double
{
  return msPerToken_;
}

auto ReadingPace::FirstEventTime() const -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(firstMs_));
}

auto ReadingPace::ReadingTime(double aTokens) const -> Duration
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aTokens * msPerToken_));
}

} // namespace burdockring
