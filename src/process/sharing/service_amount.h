#ifndef BURDOCKRING_PROCESS_SHARING_SERVICE_AMOUNT_H
#define BURDOCKRING_PROCESS_SHARING_SERVICE_AMOUNT_H

#include <cmath>
#include <cstdint>

namespace burdockring {

/// An amount of service in tokens divided by the account's weight. The tag of
/// an account is its virtual time on the same scale.
using ServiceAmount = std::int64_t;

/// Divides a cost in tokens by the account weight.
inline auto NormalizeByWeight(double aTokens, double aWeight) -> ServiceAmount
{
  return std::llround(aTokens / aWeight);
}

} // namespace burdockring

#endif
