#ifndef BURDOCKRING_MEASURE_FAIRNESS_METER_H
#define BURDOCKRING_MEASURE_FAIRNESS_METER_H

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace burdockring {

/// Measures how evenly service is shared out. The gap of two accounts is the
/// largest change of the difference of their service by weight within an
/// interval in which both have requests waiting somewhere.
class FairnessMeter
{
  struct Account
  {
    double weight_ = 1;
    double service_ = 0;
    int waiting_ = 0;
    Instant waitingSince_{};
  };

  struct Pair
  {
    double low_ = 0;
    double high_ = 0;
  };

  struct Snapshot
  {
    Instant at_{};
    std::vector<double> service_;
  };

  std::vector<Account> accounts_;
  std::vector<Pair> pairs_;
  std::vector<float> gaps_;
  double maxGap_ = 0;
  double minShare_ = 1e9;
  double busyTime_ = 0;
  double slotTime_ = 0;
  double recentBusy_ = 0;
  double recentSlots_ = 0;
  Instant lastSample_{};
  std::deque<Snapshot> snapshots_;

  auto PairOf(std::size_t aOne, std::size_t aOther) -> Pair&;
  auto BeginPairs(std::size_t aAccount) -> void;
  auto EndPairs(std::size_t aAccount) -> void;
  auto EndPair(std::size_t aOne, std::size_t aOther) -> void;

public:
  explicit FairnessMeter(const std::vector<double>& aWeights);

  auto AddWaiting(int aAccount, int aChange, Instant aNow) -> void;
  auto AddService(int aAccount, double aTokens) -> void;
  /// Takes a sample of the slots in use; call it at even steps of time.
  auto SampleSlots(int aBusy, int aTotal, Instant aNow) -> void;
  /// Takes a snapshot for the shares over windows; call it every second.
  auto SampleShares(Instant aNow) -> void;
  /// Forgets gaps, shares and utilisation so far, but not what waits.
  auto Reset(Instant aNow) -> void;
  /// Ends the open intervals, so that their gaps count.
  auto Close() -> void;

  [[nodiscard]] auto MaxGap() const -> double;
  [[nodiscard]] auto GapPercentile(double aPercent) const -> double;
  /// The least service of a backlogged account in any 10 s, as a multiple of
  /// its share by weight among the backlogged; 1 where none was measured.
  [[nodiscard]] auto MinShare() const -> double;
  /// Slot time in use over slot time available, while anything waited.
  [[nodiscard]] auto Utilisation() const -> double;
  /// The same since the last call of this method.
  [[nodiscard]] auto TakeRecentUtilisation() -> double;
  [[nodiscard]] auto AnyWaiting() const -> bool;
  [[nodiscard]] auto Service(int aAccount) const -> double;
};

} // namespace burdockring

#endif
