#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(Units){};

// Guards against wrong sums and comparisons of quantities.
TEST(Units, QuantitiesAddAndCompare) {
  Ppm sum = Ppm(400'000) + Ppm(600'000);
  CHECK(sum == WholePpm);
  CHECK(Ppm(1) < Ppm(2));
}
