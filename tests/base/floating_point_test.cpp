#include <gtest/gtest.h>

namespace burdockring {
namespace {

// arm64 compilers fuse a product and a sum by default, without rounding the
// product. Decisions with equal seeds then differ from those on x86-64.
TEST(FloatingPointTest, ProductsAreRoundedBeforeTheyAreAdded)
{
  const volatile double factor = 1.0 + 0x1p-30;
  const volatile double negated = -(1.0 + 0x1p-29);
  const double left = factor;
  const double right = negated;
  // The exact result is 2^-60, which the rounded product lacks.
  EXPECT_EQ(left * left + right, 0.0);
}

} // namespace
} // namespace burdockring
