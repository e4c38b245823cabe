#include "region_shares.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

} // namespace

TEST_GROUP(RegionShares){};

// Guards against requests that return to their region in one go when a burst
// ends, seen with 29 in 100 within two seconds.
TEST(RegionShares, RequestsReturnInSteps) {
  const RegionId near("near");
  const RegionId far("far");
  RegionShares shares;
  std::vector<double> parts;
  int home = 0;
  for (int i = 0; i < 1200; ++i) {
    MonoTime now = Start + i * Duration(Millis(25));
    bool wantsHome = i >= 400 || i % 2 == 0;
    bool goesHome = wantsHome && regionMayGrow(shares, near, now);
    noteRegion(shares, goesHome ? near : far, now);
    home += goesHome;
    if (i % 80 == 79) {
      parts.push_back(home / 80.0);
      home = 0;
    }
  }
  for (std::size_t i = 2; i < parts.size(); ++i)
    CHECK_TRUE(parts[i] - parts[i - 1] <= 0.15);
  CHECK_TRUE(parts.back() > parts[4]);
}
