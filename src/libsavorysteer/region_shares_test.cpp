#include "region_shares.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

} // namespace

TEST_GROUP(RegionShares){};

// Guards against requests that return to their region all at once when a burst
// ends. Without the limit, 29 of 100 requests moved within two seconds.
TEST(RegionShares, RequestsReturnInSteps) {
  const RegionId near("near");
  const RegionId far("far");
  RegionShares shares;
  std::vector<double> homeShares;
  int home = 0;
  for (int i = 0; i < 1200; ++i) {
    MonoTime now = Start + i * Duration(Millis(25));
    bool wantsHome = i >= 400 || i % 2 == 0;
    bool goesHome = wantsHome && mayIncreaseShare(shares, near, now);
    recordRegion(shares, goesHome ? near : far, now);
    home += goesHome;
    if (i % 80 == 79) {
      homeShares.push_back(home / 80.0);
      home = 0;
    }
  }
  for (std::size_t i = 2; i < homeShares.size(); ++i)
    CHECK_TRUE(homeShares[i] - homeShares[i - 1] <= 0.15);
  CHECK_TRUE(homeShares.back() > homeShares[4]);
}
