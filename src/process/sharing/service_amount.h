#ifndef BURDOCKRING_PROCESS_SHARING_SERVICE_AMOUNT_H
#define BURDOCKRING_PROCESS_SHARING_SERVICE_AMOUNT_H

#include <cmath>
#include <cstdint>

namespace burdockring {

/// Service given or owed, in tokens divided by the account's weight. A tag is
/// the virtual time of an account on the same scale.
using ServiceAmount = std::int64_t;

/// Divides a cost in tokens by a weight.
inline auto NormalizeByWeight(double aTokens, double aWeight) -> ServiceAmount
{
  return std::llround(aTokens / aWeight);
}

} // namespace burdockring

#endif
