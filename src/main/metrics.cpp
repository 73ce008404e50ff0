#include "main/metrics.h"

#include <cstdio>

namespace burdockring {
namespace {

constexpr unsigned kBuckets = 24;
constexpr double kLowestSeconds = 0.0005;
constexpr double kHighestSeconds = 600.0;

constexpr std::array<std::string_view, 4> kKindNames{
  "wait_seconds",
  "first_token_seconds",
  "between_tokens_seconds",
  "total_seconds",
};

auto ClassName(RequestClass aClass) -> std::string_view
{
  return aClass == RequestClass::kBatch ? "batch" : "interactive";
}

/// A label of the exposition format, NAME="VALUE".
auto Label(std::string_view aName, std::string_view aValue) -> std::string
{
  std::string text(aName);
  text += "=\"";
  for (const char byte : aValue) {
    if (byte == '\n') {
      text += "\\n";
      continue;
    }
    if (byte == '"' || byte == '\\') {
      text += '\\';
    }
    text += byte;
  }
  return text + '"';
}

auto Number(double aValue) -> std::string
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", aValue);
  return text.data();
}

auto Seconds(Duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

auto Metrics::MakeHistogram() -> Histogram
{
  return boost::histogram::make_histogram(
    Axis(kBuckets, kLowestSeconds, kHighestSeconds));
}

auto Metrics::MakeSeries() -> Series
{
  const auto histogram = MakeHistogram();
  return { { histogram, histogram, histogram, histogram }, {}, {} };
}

auto Metrics::FindSeries(const RequestTiming& aTiming) -> Series&
{
  SeriesKey key{ aTiming.accountName_,
                 aTiming.className_.empty()
                   ? std::string(ClassName(aTiming.class_))
                   : aTiming.className_ };
  if (!series_.contains(key) && series_.size() >= kMaxSeries) {
    key.account_ = "other";
  }
  const auto found = series_.find(key);
  if (found != series_.end()) {
    return found->second;
  }
  return series_.emplace(key, MakeSeries()).first->second;
}

auto Metrics::WriteHistogram(const std::string& aName,
                             const std::string& aLabels,
                             const Histogram& aHistogram,
                             double aSum,
                             std::string* aText) -> void
{
  // The first bucket of the exposition also holds what is below the axis.
  double below = aHistogram.at(-1);
  for (const auto& cell : boost::histogram::indexed(aHistogram)) {
    below += *cell;
    *aText += aName + "_bucket{" + aLabels + ",le=\"" +
              Number(cell.bin().upper()) + "\"} " + Number(below) + '\n';
  }
  below += aHistogram.at(static_cast<int>(kBuckets));
  *aText +=
    aName + "_bucket{" + aLabels + ",le=\"+Inf\"} " + Number(below) + '\n';
  *aText += aName + "_sum{" + aLabels + "} " + Number(aSum) + '\n';
  *aText += aName + "_count{" + aLabels + "} " + Number(below) + '\n';
}

auto Metrics::WriteGaps(std::string* aText) const -> void
{
  if (gapSeries_.empty()) {
    return;
  }
  *aText += "# TYPE burdockring_longest_event_gap_seconds histogram\n";
  for (const auto& entry : gapSeries_) {
    WriteHistogram("burdockring_longest_event_gap_seconds",
                   Label("route", entry.first), entry.second.histogram_,
                   entry.second.sum_, aText);
  }
  *aText += "# TYPE burdockring_streams_over_gap_limit_total counter\n";
  for (const auto& entry : gapSeries_) {
    *aText += "burdockring_streams_over_gap_limit_total{" +
              Label("route", entry.first) + "} " +
              std::to_string(entry.second.overLimit_) + '\n';
  }
}

auto Metrics::Record(const RequestTiming& aTiming) -> void
{
  const std::array<Duration, kKinds> durations{
    aTiming.wait_, aTiming.firstToken_, aTiming.betweenTokens_, aTiming.total_
  };
  const std::lock_guard lock(mutex_);
  auto& series = FindSeries(aTiming);
  ++series.answers_[aTiming.runState_];
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const auto seconds = Seconds(durations.at(kind));
    const bool measured =
      seconds > 0 || kind == static_cast<std::size_t>(TimingKind::kTotal);
    if (measured) {
      series.histograms_.at(kind)(seconds);
      series.sums_.at(kind) += seconds;
    }
  }
}

auto Metrics::RecordEventGaps(const std::string& aRoute,
                              Duration aLongest,
                              Duration aLimit) -> void
{
  const std::lock_guard lock(mutex_);
  const bool isFull =
    !gapSeries_.contains(aRoute) && gapSeries_.size() >= kMaxSeries;
  auto& series = gapSeries_
                   .try_emplace(isFull ? std::string("other") : aRoute,
                                GapSeries{ MakeHistogram(), 0, 0 })
                   .first->second;
  series.histogram_(Seconds(aLongest));
  series.sum_ += Seconds(aLongest);
  series.overLimit_ += aLimit > 0us && aLongest > aLimit ? 1 : 0;
}

auto Metrics::ToText() const -> std::string
{
  const std::lock_guard lock(mutex_);
  std::string text;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    text +=
      "# TYPE burdockring_" + std::string(kKindNames.at(kind)) + " histogram\n";
    for (const auto& entry : series_) {
      WriteHistogram("burdockring_" + std::string(kKindNames.at(kind)),
                     Label("account", entry.first.account_) + ',' +
                       Label("class", entry.first.class_),
                     entry.second.histograms_.at(kind),
                     entry.second.sums_.at(kind), &text);
    }
  }
  text += "# TYPE burdockring_answers_total counter\n";
  for (const auto& entry : series_) {
    for (const auto& answers : entry.second.answers_) {
      text += "burdockring_answers_total{" +
              Label("account", entry.first.account_) + ',' +
              Label("class", entry.first.class_) + ',' +
              Label("run", RunStateName(answers.first)) + "} " +
              std::to_string(answers.second) + '\n';
    }
  }
  WriteGaps(&text);
  return text;
}

} // namespace burdockring
