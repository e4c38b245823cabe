#include "load_reports.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
const TargetId One("i-1");

std::map<TargetId, TargetState> makeTargets(int n) {
  std::map<TargetId, TargetState> targets;
  for (int i = 1; i <= n; ++i) {
    TargetId id("i-" + std::to_string(i));
    targets[id].Entry.Id = id;
    targets[id].Entry.Slots = 4;
  }
  return targets;
}

LoadReport reportOf(int requests, Duration age) {
  return {VmId("vm-2"), {{One, requests, 0, age}}};
}

} // namespace

TEST_GROUP(LoadReports){};

// Guards against a VM that sends to a target whose queue another VM has seen.
TEST(LoadReports, QueueSeenByAnotherVmIsNotKnown) {
  auto targets = makeTargets(1);
  applyLoadReport(targets, reportOf(9, Millis(50)), Start);
  CHECK_TRUE(expectedRequests(targets[One], Start) > 7);
}

// Guards against an old queue length that keeps a target unused.
TEST(LoadReports, OldQueueCountsForTooLong) {
  auto targets = makeTargets(1);
  applyLoadReport(targets, reportOf(0, Millis(0)), Start);
  applyLoadReport(targets, reportOf(9, Millis(0)), Start + Millis(10));
  CHECK_TRUE(expectedRequests(targets[One], Start + Millis(1700)) < 1);
}

// Guards against older readings that replace newer ones, as datagrams of
// different VMs arrive in any order, and against readings from the future.
TEST(LoadReports, LateDatagramReplacesANewerReading) {
  auto targets = makeTargets(1);
  applyLoadReport(targets, reportOf(8, Millis(0)), Start);
  applyLoadReport(targets, reportOf(0, Millis(200)), Start + Millis(20));
  applyLoadReport(targets, reportOf(0, Millis(-50)), Start + Millis(20));
  applyLoadReport(targets, reportOf(0, Seconds(9)), Start + Millis(20));
  CHECK_TRUE(expectedRequests(targets[One], Start + Millis(20)) > 7);
}

// Guards against counting this VM's own requests twice, and against a reading
// that hides those that were sent after it.
TEST(LoadReports, OwnRequestsAreCountedTwiceOrHidden) {
  auto targets = makeTargets(1);
  targets[One].InFlight = {Start - Millis(100), Start};
  applyLoadReport(targets, reportOf(3, Millis(50)), Start);
  // Two of others and this VM's first at the reading, and its second since.
  DOUBLES_EQUAL(4, expectedRequests(targets[One], Start), 0.5);
}

// Guards against reports that grow with the number of targets, and against
// passing on what came from another VM, which would circulate.
TEST(LoadReports, ReportIsUnboundedOrRepeatsOthers) {
  auto targets = makeTargets(60);
  applyLoadReport(targets, reportOf(5, Millis(0)), Start);
  LONGS_EQUAL(0, makeLoadReport(targets, VmId("vm-1"), Start).Readings.size());
  for (auto &[id, target] : targets)
    recordOwnLoad(target, {1, 2, 4, 150}, Start);
  LoadReport report = makeLoadReport(targets, VmId("vm-1"), Start + Millis(10));
  LONGS_EQUAL(MaxReadings, report.Readings.size());
  LONGS_EQUAL(3, report.Readings[0].Requests);
  LONGS_EQUAL(0, makeLoadReport(targets, VmId("vm-1"), Start).Readings.size());
}

// Guards against a slow machine that counts as slow long after it recovered.
TEST(LoadReports, SlownessOfAMachineIsNotForgotten) {
  auto targets = makeTargets(1);
  recordOwnLoad(targets[One], {1, 0, 4, 250}, Start);
  DOUBLES_EQUAL(2.5, machineSlowness(targets[One], Start), 0.01);
  CHECK_TRUE(machineSlowness(targets[One], Start + Seconds(2)) < 1.1);
}
