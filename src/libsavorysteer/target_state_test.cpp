#include "target_state.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};

TargetState makeTarget() {
  TargetState target;
  target.Entry.Id = TargetId("i-1");
  target.Entry.Address = "10.0.0.1:80";
  target.Entry.Slots = 4;
  target.Entry.StartId = 7;
  return target;
}

} // namespace

TEST_GROUP(TargetState){};

// Guards against a target that stays unused after one lost connection. Its
// entry does not change while it keeps running.
TEST(TargetState, IsTriedAgainAfterItWasUnreachable) {
  TargetState target = makeTarget();
  recordResult(target, TargetResult::Unreachable, -1, Start);
  CHECK_TRUE(isSuspended(target, Start + Seconds(1)));
  MonoTime later = Start + FirstSuspension;
  CHECK_FALSE(isSuspended(target, later));
  // One request at a time until one has been answered.
  target.InFlight.push_back(later);
  CHECK_TRUE(isSuspended(target, later));
  recordResult(target, TargetResult::Answered, 1, later);
  CHECK_FALSE(isSuspended(target, later));
}

// Guards against many requests lost to a target that never recovers.
TEST(TargetState, SuspensionsGrowUpToABound) {
  TargetState target = makeTarget();
  MonoTime now = Start;
  for (int i = 0; i < 8; ++i) {
    recordResult(target, TargetResult::Unreachable, -1, now);
    now = target.SuspendedUntil;
  }
  CHECK_TRUE(target.Suspension == MaxSuspension);
}

// Guards against applying measurements of an earlier process with the same id.
TEST(TargetState, RestartResetsMeasurements) {
  TargetState target = makeTarget();
  recordResult(target, TargetResult::Unreachable, -1, Start);
  recordObject(target, "map-7", Start);
  target.Notices = {true, Start + Seconds(9)};
  TargetEntry entry = target.Entry;
  entry.StartId = 8;
  entry.WarmupLeft = Millis(3000);
  updateEntry(target, entry, Start + Seconds(1));
  CHECK_FALSE(isSuspended(target, Start + Seconds(1)));
  CHECK_TRUE(target.Objects.empty());
  CHECK_FALSE(target.Notices.Leaving);
  CHECK_TRUE(target.Notices.PausedUntil == MonoTime());
  CHECK_TRUE(target.ColdUntil == Start + Seconds(4));
}

// Guards against counting this VM's own requests twice.
TEST(TargetState, LoadOfOthersLeavesOutOwnRequests) {
  TargetState target = makeTarget();
  target.InFlight = {Start, Start};
  recordLoad(target, {3, 2, 4}, Start);
  DOUBLES_EQUAL(5, expectedRequests(target, Start), 0.01);
  target.InFlight.clear();
  DOUBLES_EQUAL(3, expectedRequests(target, Start), 0.01);
}

// Guards against load reports of other VMs' queues that decay before the next
// request to the target. Occurs where each VM gets a report only once a second.
TEST(TargetState, QueueOfOthersCountsForASecond) {
  TargetState target = makeTarget();
  setReportSmoothing(target, 79);
  recordLoad(target, {4, 12, 4}, Start);
  CHECK_TRUE(expectedRequests(target, Start + Seconds(1)) > 8);
  // With few VMs it would have received a newer report in the meantime.
  target.OthersMean = 0;
  setReportSmoothing(target, 10);
  CHECK_TRUE(expectedRequests(target, Start + Seconds(1)) < 2);
  // A report of an empty queue takes effect immediately.
  recordLoad(target, {0, 0, 4}, Start + Seconds(1));
  CHECK_TRUE(expectedRequests(target, Start + Seconds(1)) < 1);
}

// Guards against a target that is avoided permanently after a few failures.
TEST(TargetState, FailureRateDecays) {
  TargetState target = makeTarget();
  for (int i = 0; i < 20; ++i)
    recordResult(target, TargetResult::Failed, -1, Start);
  CHECK_TRUE(currentFailureRate(target, Start) > 0.9);
  CHECK_TRUE(currentFailureRate(target, Start + 4 * ResultTimeConstant) < 0.05);
}

// Guards against VMs that overload a target because each gets a report of its
// queue only every few seconds.
TEST(TargetState, RareReportsRaiseExpectedRequests) {
  TargetState target = makeTarget();
  setReportSmoothing(target, 79);
  MonoTime now = Start;
  for (int i = 0; i < 4; ++i, now += Seconds(3)) {
    target.InFlight.push_back(now);
    recordLoad(target, {4, 3, 4}, now);
    target.InFlight.clear();
  }
  CHECK_TRUE(expectedRequests(target, now) >= 4);
}
