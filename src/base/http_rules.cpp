#include "base/http_rules.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace burdockring {
namespace {

auto IsBlank(char aByte) -> bool
{
  return aByte == ' ' || aByte == '\t';
}

auto IsControl(char aByte) -> bool
{
  constexpr unsigned char kEndOfControls = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  const auto byte = static_cast<unsigned char>(aByte);
  return (byte < kEndOfControls && aByte != '\t') || byte == kDelete;
}

} // namespace

auto IsFieldValue(std::string_view aText) -> bool
{
  return !aText.empty() && !IsBlank(aText.front()) && !IsBlank(aText.back()) &&
         std::none_of(aText.begin(), aText.end(), IsControl);
}

auto IsKnownTransferCoding(std::string_view aValue) -> bool
{
  return boost::algorithm::iequals(aValue, "chunked");
}

} // namespace burdockring
