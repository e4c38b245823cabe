#include "overload_control.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>

using namespace savorylb;

namespace {

/// Plays requests of 200 ms with a latency target of 400 ms on one target with
/// 4 slots, in ms, with a queue that is known exactly.
/// \param perSecond requests per second; the target serves 20.
/// \param controlled whether the bound follows the pressure.
/// \returns the requests of 60 s that were answered in time.
int servedInTime(double perSecond, bool controlled) {
  constexpr double WorkMs = 200;
  constexpr double TargetMs = 400;
  OverloadState overload;
  std::deque<double> slots(4, 0.0);
  int inTime = 0;
  for (double now = 0; now < 60'000; now += 1000 / perSecond) {
    double start = std::max(now, slots.front());
    double latency = start + WorkMs - now;
    double bound = latencyBound(overload);
    recordPressure(overload, latency / TargetMs);
    if (start > now && latency > (controlled ? bound : 4) * TargetMs)
      continue;
    slots.pop_front();
    slots.push_back(start + WorkMs);
    inTime += latency <= TargetMs;
  }
  return inTime;
}

} // namespace

TEST_GROUP(OverloadControl){};

// Guards against the collapse of what is served in time under overload: at
// twice the load that fills the targets, no fewer requests may be in time.
TEST(OverloadControl, OverloadLowersTheRequestsInTime) {
  int atCapacity = servedInTime(20, true);
  CHECK_TRUE(servedInTime(40, true) >= atCapacity * 95 / 100);
  CHECK_TRUE(servedInTime(40, false) < atCapacity / 2);
}

// Guards against refusing requests because of a short queue now and then: a
// late answer is worth more to the caller than a refusal.
TEST(OverloadControl, SingleQueuesNarrowTheBound) {
  OverloadState overload;
  for (int i = 0; i < 200; ++i)
    recordPressure(overload, i % 10 == 0 ? 1.2 : 0.5);
  CHECK_TRUE(latencyBound(overload) > 1.3);
}

// Guards against a bound that stays narrow after the overload.
TEST(OverloadControl, BoundStaysNarrow) {
  OverloadState overload;
  for (int i = 0; i < 100; ++i)
    recordPressure(overload, 2);
  DOUBLES_EQUAL(NarrowLatencyFraction, latencyBound(overload), 0.001);
  // Five times the 50 requests that the pressure covers.
  for (int i = 0; i < 250; ++i)
    recordPressure(overload, 0.5);
  DOUBLES_EQUAL(WideLatencyFraction, latencyBound(overload), 0.02);
}
