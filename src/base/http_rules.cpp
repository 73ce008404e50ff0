#include "base/http_rules.h"

#include <boost/algorithm/string/predicate.hpp>

namespace burdockring {

auto IsKnownTransferCoding(std::string_view aValue) -> bool
{
  return boost::algorithm::iequals(aValue, "chunked");
}

} // namespace burdockring
