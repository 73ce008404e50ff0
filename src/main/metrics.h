#ifndef BURDOCKRING_MAIN_METRICS_H
#define BURDOCKRING_MAIN_METRICS_H

#include "connection/caller_session.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace burdockring {

/// What is timed of a request.
enum class TimingKind
{
  kWait,
  kFirstToken,
  kBetweenTokens,
  kTotal,
};

/// Histograms and counters for each client account and class. The number of
/// accounts is bounded; those beyond it count together as "other".
class Metrics
{
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  static constexpr std::size_t kMaxSeries = 512;
  static constexpr std::size_t kKinds = 4;

  struct SeriesKey
  {
    std::string account_;
    std::string class_;

    auto operator<=>(const SeriesKey&) const = default;
  };

  struct Series
  {
    std::array<Histogram, kKinds> histograms_;
    std::array<double, kKinds> sums_{};
    std::map<RunState, std::int64_t> answers_;
  };

  /// The longest gaps of the streams of one route.
  struct GapSeries
  {
    Histogram histogram_;
    double sum_ = 0;
    std::int64_t overLimit_ = 0;
  };

  mutable std::mutex mutex_;
  std::map<SeriesKey, Series> series_;
  std::map<std::string, GapSeries> gapSeries_;

  static auto MakeSeries() -> Series;
  auto FindSeries(const RequestTiming& aTiming) -> Series&;
  static auto MakeHistogram() -> Histogram;
  static auto WriteHistogram(const std::string& aName,
                             const std::string& aLabels,
                             const Histogram& aHistogram,
                             double aSum,
                             std::string* aText) -> void;
  auto WriteGaps(std::string* aText) const -> void;

public:
  auto Record(const RequestTiming& aTiming) -> void;
  /// Records the longest gap between two events of a stream, and whether it
  /// exceeds the limit of the route. No limit: zero.
  auto RecordEventGaps(const std::string& aRoute,
                       Duration aLongest,
                       Duration aLimit) -> void;
  /// All series in the text exposition format.
  [[nodiscard]] auto ToText() const -> std::string;
};

} // namespace burdockring

#endif
