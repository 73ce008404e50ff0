#ifndef BURDOCKRING_PROCESS_CLAIMS_CLAIM_TABLE_H
#define BURDOCKRING_PROCESS_CLAIMS_CLAIM_TABLE_H

#include "base/time.h"
#include "version/log_record.h"

#include <map>
#include <set>
#include <string>

namespace burdockring {

enum class ClaimState
{
  /// No attempt owns the key.
  kFree,
  /// An attempt owns the key and has not logged an outcome yet.
  kOwned,
  kDone,
  kUnknown,
};

/// The state of one key as replayed from the log.
struct ClaimEntry
{
  ClaimState state_ = ClaimState::kFree;
  AttemptId owner_;
  std::int64_t keyMillis_ = 0;
  int status_ = 0;
  std::string body_;
  /// Attempts that released the key without running. Late duplicates of their
  /// claims are ignored.
  std::set<AttemptId> released_;
};

/// Replays claims and outcomes in log order. The first claim of a free key
/// becomes its owner, and only an outcome from the owner is accepted.
class ClaimTable
{
  std::map<std::string, ClaimEntry> entries_;

public:
  auto Apply(const ClaimRecord& aClaim) -> void;
  auto Apply(const OutcomeRecord& aOutcome) -> void;
  /// Removes keys whose timestamp is before aBefore.
  auto Expire(WallTime aBefore) -> void;

  /// Returns the entry of a key, or null if no claim for it was replayed.
  [[nodiscard]] auto Find(const std::string& aKey) const -> const ClaimEntry*;
  [[nodiscard]] auto Size() const -> std::size_t;
};

} // namespace burdockring

#endif
