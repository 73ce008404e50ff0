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

} // namespace burdockring

#endif
