#include "retry_window.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

} // namespace

TEST_GROUP(RetryWindow){};

// Guards against retries that exceed the limit over all VMs when every request
// fails.
TEST(RetryWindow, AllVmsTogetherStayWithinTheBound) {
  RetryLimits limits;
  limits.Slack = 60;
  limits.Vms = 10;
  int retries = 0;
  int requests = 0;
  for (int vm = 0; vm < limits.Vms; ++vm) {
    RetryWindow window;
    for (MonoTime now = Start; now < Start + Seconds(10); now += Millis(50)) {
      countRequest(window, now);
      ++requests;
      retries += takeRetry(window, limits, now);
    }
  }
  CHECK_TRUE(retries <= limits.Ratio * requests + limits.Slack);
  CHECK_TRUE(retries > 0);
}

// Guards against retries on the account of requests before the window.
TEST(RetryWindow, EarlierRequestsDoNotCount) {
  RetryLimits limits;
  RetryWindow window;
  for (int i = 0; i < 1000; ++i)
    countRequest(window, Start);
  CHECK_TRUE(takeRetry(window, limits, Start));
  CHECK_FALSE(takeRetry(window, limits, Start + Seconds(12)));
}
