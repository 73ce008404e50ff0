#ifndef BURDOCKRING_BASE_STATUS_TEXT_H
#define BURDOCKRING_BASE_STATUS_TEXT_H

#include "absl/status/status.h"

#include <string>

namespace burdockring {

/// The message of a status, copied because absl's string view is not
/// `std::string_view`.
inline auto MessageOf(const absl::Status& aStatus) -> std::string
{
  return std::string(aStatus.message());
}

} // namespace burdockring

#endif
