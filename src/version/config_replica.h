#ifndef BURDOCKRING_VERSION_CONFIG_REPLICA_H
#define BURDOCKRING_VERSION_CONFIG_REPLICA_H

#include "version/config_set.h"
#include "version/log_record.h"

#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockring {

/// A configuration version with its text and parsed set.
struct ConfigVersion
{
  ConfigNumber version_ = 0;
  std::string changeId_;
  std::string text_;
  ConfigSetPointer set_ = std::make_shared<const ConfigSet>();
};

enum class ChangeResult
{
  kAccepted,
  kConflict,
  kInvalid,
  kDuplicate,
  kUndecided,
};

/// The name of a result in command output and status reports.
auto ResultName(ChangeResult aResult) -> std::string_view;

/// One decided change, as shown to operators.
struct HistoryRow
{
  LogOffset offset_ = 0;
  std::string changeId_;
  std::string operator_;
  ConfigNumber base_ = 0;
  ConfigNumber version_ = 0;
  ChangeResult result_ = ChangeResult::kUndecided;
};

/// Replays the log's configuration records in order. Replicas that have decided
/// the same log prefix hold the same version: the first valid change based on
/// the current version is accepted and any other change is a conflict.
///
/// A replica decides changes only when synchronized: it knows the version at
/// the start of the log, at a snapshot or at a peer's offer, and has read every
/// record since then. Until then, changes stay pending and undecided.
class ConfigReplica
{
  struct PendingChange
  {
    LogOffset offset_ = 0;
    ConfigChange change_;
  };

  ConfigVersion current_;
  /// If synchronized, every record up to this offset is decided.
  LogOffset decidedTo_ = -1;
  /// First offset of the range that has been read without a gap.
  LogOffset coveredFrom_ = 0;
  LogOffset coveredTo_ = -1;
  bool isSynchronized_ = false;
  std::deque<PendingChange> pending_;
  std::deque<HistoryRow> history_;

  auto DecideChange(LogOffset aOffset, const ConfigChange& aChange)
    -> ChangeResult;
  auto SynchronizeTo(ConfigVersion aVersion, LogOffset aDecidedTo) -> bool;
  auto DecidePending() -> void;
  auto AddHistoryRow(HistoryRow aRow) -> void;

public:
  /// Begins a read at aFirst. A gap after the previous read desynchronizes.
  auto BeginRead(LogOffset aFirst) -> void;
  /// Marks all offsets below aNext as read.
  auto EndRead(LogOffset aNext) -> void;
  auto Apply(LogOffset aOffset, const ConfigChange& aChange) -> ChangeResult;
  /// Applies a snapshot record. Returns whether the current version changed.
  auto Apply(LogOffset aOffset, const ConfigSnapshot& aSnapshot) -> bool;
  /// Applies a peer's version if it is newer. Returns whether it was applied.
  auto ApplyPeerVersion(ConfigNumber aVersion,
                        LogOffset aDecidedTo,
                        const std::string& aChangeId,
                        const std::string& aText) -> bool;

  [[nodiscard]] auto Current() const -> const ConfigVersion&;
  [[nodiscard]] auto IsSynchronized() const -> bool;
  /// The last offset at which the current version is known to be valid.
  [[nodiscard]] auto DecidedTo() const -> LogOffset;
  [[nodiscard]] auto History() const -> const std::deque<HistoryRow>&;
};

} // namespace burdockring

#endif
