#ifndef BURDOCKRING_STANDIN_STANDIN_FAULTS_H
#define BURDOCKRING_STANDIN_STANDIN_FAULTS_H

#include "absl/status/status.h"
#include "connection/http_server.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockring {

/// Faults that a stand-in can be told to show, over POST /fault?NAME=VALUE.
enum class Fault
{
  /// Every step takes this many times as long.
  kSlow,
  /// The next replies stop in the middle, with the connection left open.
  kSilent,
  /// Requests are refused before they run.
  kRefuse,
  /// The next replies are lost after the request took effect.
  kLoseReply,
  /// The list shows what it was this many milliseconds ago.
  kLag,
  /// The target says that it is leaving.
  kLeaving,
  /// The stand-in answers nothing at all.
  kDown,
  /// The next replies are cut in the middle.
  kCut,
};

/// The faults that are on. Counted faults go down with each use.
class StandinFaults
{
  std::map<Fault, int> values_;

public:
  auto Set(Fault aFault, int aValue) -> void;
  [[nodiscard]] auto Get(Fault aFault) const -> int;
  /// Uses one of a counted fault; false where none is left.
  auto Take(Fault aFault) -> bool;
  /// Reads "slow=3&refuse=1"; InvalidArgument on an unknown name or number.
  auto Apply(const std::string& aQuery) -> absl::Status;
};

/// Answers POST /fault; none where the request is another.
auto HandleFault(const HttpRequest& aRequest, StandinFaults* aFaults)
  -> std::optional<absl::Status>;

/// The part of a request target before its query.
auto PathOf(const HttpRequest& aRequest) -> std::string;

/// A number in the query, or the default.
auto QueryNumber(const HttpRequest& aRequest,
                 std::string_view aName,
                 std::int64_t aDefault) -> std::int64_t;

} // namespace burdockring

#endif
