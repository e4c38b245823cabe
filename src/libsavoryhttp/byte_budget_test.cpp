#include "byte_budget.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(ByteBudget){};

// Guards against a budget that is never released or can be exceeded.
TEST(ByteBudget, ChargesLargeMessagesUntilTheyEnd) {
  constexpr std::int64_t Free = ByteReservation::UnchargedBytes;
  auto budget = std::make_shared<ByteBudget>(1000);
  {
    ByteReservation first(budget);
    ByteReservation second(budget);
    CHECK_TRUE(first.grow(Free));
    LONGS_EQUAL(0, budget->Used);
    CHECK_TRUE(first.grow(700));
    CHECK_TRUE(second.grow(Free + 300));
    CHECK_FALSE(first.grow(1));
    LONGS_EQUAL(1000, budget->Used);
    ByteReservation small(budget);
    CHECK_TRUE(small.grow(Free));
    CHECK_FALSE(small.fits(1));
    CHECK_FALSE(small.fits(UINT64_MAX));
  }
  LONGS_EQUAL(0, budget->Used);
}
