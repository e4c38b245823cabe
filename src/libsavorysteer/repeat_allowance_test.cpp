#include "repeat_allowance.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

} // namespace

TEST_GROUP(RepeatAllowance){};

// Guards against repeats that add up to more than the bound over all VMs when
// every request fails.
TEST(RepeatAllowance, AllVmsTogetherStayWithinTheBound) {
  RepeatBounds bounds;
  bounds.Slack = 60;
  bounds.Vms = 10;
  int repeats = 0;
  int requests = 0;
  for (int vm = 0; vm < bounds.Vms; ++vm) {
    RepeatAllowance allowance;
    for (MonoTime now = Start; now < Start + Seconds(10); now += Millis(50)) {
      countRequest(allowance, now);
      ++requests;
      repeats += takeRepeat(allowance, bounds, now);
    }
  }
  CHECK_TRUE(repeats <= bounds.Ratio * requests + bounds.Slack);
  CHECK_TRUE(repeats > 0);
}

// Guards against repeats saved up in a quiet time.
TEST(RepeatAllowance, EarlierRequestsDoNotCount) {
  RepeatBounds bounds;
  RepeatAllowance allowance;
  for (int i = 0; i < 1000; ++i)
    countRequest(allowance, Start);
  CHECK_TRUE(takeRepeat(allowance, bounds, Start));
  CHECK_FALSE(takeRepeat(allowance, bounds, Start + Seconds(12)));
}
