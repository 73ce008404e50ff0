#include "base/http_fields.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace burdockring {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames{
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "proxy-authorization",
  "proxy-authenticate",
};

} // namespace

auto IsSameFieldName(std::string_view aLeft, std::string_view aRight) -> bool
{
  return aLeft.size() == aRight.size() &&
         boost::algorithm::iequals(aLeft, aRight);
}

auto FindField(const HttpFields& aFields, std::string_view aName)
  -> const std::string*
{
  for (const auto& field : aFields) {
    if (IsSameFieldName(field.name_, aName)) {
      return &field.value_;
    }
  }
  return nullptr;
}

auto HasToken(std::string_view aValue, std::string_view aToken) -> bool
{
  while (!aValue.empty()) {
    const auto comma = aValue.find(',');
    const auto item =
      boost::algorithm::trim_copy(std::string(aValue.substr(0, comma)));
    if (IsSameFieldName(item, aToken)) {
      return true;
    }
    aValue.remove_prefix(comma == std::string_view::npos ? aValue.size()
                                                         : comma + 1);
  }
  return false;
}

auto IsHopByHop(std::string_view aName, std::string_view aConnection) -> bool
{
  const auto matchesName = [&](std::string_view aOther) {
    return IsSameFieldName(aName, aOther);
  };
  return std::any_of(kHopByHopNames.begin(), kHopByHopNames.end(),
                     matchesName) ||
         (!aConnection.empty() && HasToken(aConnection, aName));
}

} // namespace burdockring
