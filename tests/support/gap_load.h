#ifndef BURDOCKRING_TESTS_SUPPORT_GAP_LOAD_H
#define BURDOCKRING_TESTS_SUPPORT_GAP_LOAD_H

#include "process/placement/dispatcher.h"
#include "support/batch_engine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace burdockring {

/// How engines are chosen.
enum class GapMethod
{
  /// As without a limit. Only the result counts the gaps.
  kPresent,
  /// The routes declare the limit, so that PromptPacer applies.
  kPaced,
  /// Some engines get the long prompts only, the others the streams only.
  kSeparateEngines,
  /// Streams go to the half of the engines that read least in the last second.
  kStreamsAvoidReaders,
};

/// Long prompts, about half cached, that arrive beside long streams.
struct GapLoad
{
  int engines_ = 12;
  int slots_ = 64;
  BatchFigures figures_;
  /// Routers that place requests. Each learns of the others' load after
  /// reportDelay_.
  int leads_ = 1;
  Duration reportDelay_ = 20ms;
  /// Arrivals per second at all engines together.
  double promptsPerSecond_ = 90;
  double streamsPerSecond_ = 30;
  int promptTokens_ = 12'000;
  int sharedTokens_ = 6000;
  /// Number of different shared prefixes.
  int prefixes_ = 40;
  int promptOutput_ = 60;
  int streamPrompt_ = 800;
  int streamOutput_ = 500;
  /// Relative rate of arrivals in the first quarter of each wave.
  double waveHeight_ = 1.0;
  Duration wave_ = 4s;
  Duration objective_ = 800ms;
  Duration limit_ = 300ms;
  GapMethod method_ = GapMethod::kPaced;
  /// Engines that get the long prompts, with kSeparateEngines.
  int promptEngines_ = 6;
  Duration length_ = 40s;
  std::uint32_t seed_ = 1;
};

struct GapLoadResult
{
  int arrived_ = 0;
  int rejected_ = 0;
  /// Requests that ran.
  int ran_ = 0;
  int lateFirstEvents_ = 0;
  /// Long streams that ran, and those of them with a gap over the limit.
  int streams_ = 0;
  int streamsOverLimit_ = 0;
  /// Responses to long prompts with a gap over the limit.
  int promptsOverLimit_ = 0;
  double firstEventP50Ms_ = 0;
  double firstEventP99Ms_ = 0;
  /// Prompt tokens that the engines read.
  std::int64_t tokensRead_ = 0;

  [[nodiscard]] auto OverLimitShare() const -> double;
  [[nodiscard]] auto ToText() const -> std::string;
};

/// Replays the load in virtual time.
auto ReplayGapLoad(const GapLoad& aLoad) -> GapLoadResult;

} // namespace burdockring

#endif
