#ifndef BURDOCKRING_BASE_HTTP_FIELDS_H
#define BURDOCKRING_BASE_HTTP_FIELDS_H

#include <string>
#include <string_view>
#include <vector>

namespace burdockring {

/// A header field. The name keeps the case in which it was sent.
struct HttpField
{
  std::string name_;
  std::string value_;
};

using HttpFields = std::vector<HttpField>;

/// Compares two field names case-insensitively.
auto IsSameFieldName(std::string_view aLeft, std::string_view aRight) -> bool;

/// The value of the first field with this name, or null.
auto FindField(const HttpFields& aFields, std::string_view aName)
  -> const std::string*;

/// Whether a comma-separated list contains a token (case-insensitive).
auto HasToken(std::string_view aValue, std::string_view aToken) -> bool;

/// Whether a field is hop-by-hop, so that a proxy must not forward it.
/// `aConnection` is the value of the message's Connection field, or empty.
auto IsHopByHop(std::string_view aName, std::string_view aConnection) -> bool;

/// Whether a status can begin an answer: RFC 9110 defines the classes 100 to
/// 599. 101 answers only a request to switch protocols, which the router never
/// makes.
constexpr auto IsAnswerStatus(int aStatus) -> bool
{
  constexpr int kFirst = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast &&
         aStatus != kSwitchingProtocols;
}

/// Whether the program decodes a message with this value of Transfer-Encoding:
/// of chunks alone. Of other codings it knows neither the body nor its end.
auto IsKnownTransferCoding(std::string_view aValue) -> bool;

} // namespace burdockring

#endif
