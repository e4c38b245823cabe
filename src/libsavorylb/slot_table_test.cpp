#include "savorylb/slot_table.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(SlotTable) {
  SlotTable Table;
  MonoTime Now{Seconds(100)};

  TargetSpec spec(const char *name, int slots = 4) {
    TargetSpec it;
    it.Name = TargetId(name);
    it.Slots = slots;
    it.Version = VersionId("v1");
    return it;
  }
  void adopt(const char *name, int slots = 4, bool inherited = false) {
    adoptTarget(Table, spec(name, slots), inherited, Now);
  }
  std::optional<SlotGrant> grant(const char *avoid = "") {
    return grantSlot(Table, VersionId("v1"), TargetId(avoid), Now + Seconds(1),
                     Now);
  }
  SlotGrant mustGrant(const char *avoid = "") {
    std::optional<SlotGrant> it = grant(avoid);
    CHECK(it.has_value());
    return it.value_or(SlotGrant());
  }
  int grantAll() {
    int n = 0;
    while (grant())
      ++n;
    return n;
  }
  void finish(const SlotGrant &it, SlotResult result) {
    CHECK(releaseSlot(Table, it.Target, it.Number, result, Now));
  }
  void report(const char *name, int slots, int busy, Duration age,
              bool draining = false) {
    LoadReport it;
    it.Slots = slots;
    it.Busy = busy;
    it.Draining = draining;
    it.MeasuredAt = Now - age;
    applyLoadReport(Table, TargetId(name), it, Now);
  }
  int freeNow() { return freeSlots(Table, VersionId("v1"), Now); }
};

// Guards against more requests on a target than it has slots, and against
// requests that accumulate on one target or go to the target to avoid.
TEST(SlotTable, SpreadsAndNeverExceedsSlots) {
  adopt("a", 2);
  adopt("b", 4);
  STRCMP_EQUAL("b", mustGrant("a").Target.Value.c_str());
  STRCMP_EQUAL("a", mustGrant().Target.Value.c_str());
  LONGS_EQUAL(4, grantAll());
  LONGS_EQUAL(2, Table.Targets[TargetId("a")].Grants.size());
  CHECK_FALSE(
      grantSlot(Table, VersionId("v2"), TargetId(), Now + Seconds(1), Now));
}

// Guards against slots that are never freed, or are reused while a request may
// still run, after a forwarding VM died.
TEST(SlotTable, UnreleasedSlotsReturnAfterDeadlineAndGrace) {
  adopt("a", 1);
  SlotGrant it = mustGrant();
  Now += Seconds(1) + SlotExpiryGrace - Duration(1);
  expireGrants(Table, Now);
  CHECK_FALSE(grant().has_value());
  Now += Duration(1);
  CHECK(grant().has_value());
  CHECK_FALSE(releaseSlot(Table, it.Target, it.Number, SlotResult::Done, Now));
}

// Guards against overload after a takeover, when requests of the previous owner
// are still running.
TEST(SlotTable, InheritedSlotsCountAsBusy) {
  adopt("a", 4, true);
  adopt("b", 4, true);
  report("a", 4, 0, Millis(1));
  LONGS_EQUAL(0, freeNow());
  Now += InTransitTime + Millis(20);
  report("a", 4, 1, Millis(30));
  LONGS_EQUAL(0, freeNow());
  report("a", 4, 1, Millis(5));
  LONGS_EQUAL(3, freeNow());
  Now += Table.Service.MaxTime + SlotExpiryGrace;
  LONGS_EQUAL(8, freeNow());
}

// Guards against reports that raise limits, and against wrong or stale reports
// that exclude a target permanently.
TEST(SlotTable, ReportsOnlyLowerAndNeverForGood) {
  adopt("a", 4);
  report("a", 9, 0, Millis(0));
  LONGS_EQUAL(4, freeNow());
  report("a", 0, 0, Millis(10));
  LONGS_EQUAL(4, freeNow());
  report("a", 2, 0, Duration(0));
  LONGS_EQUAL(2, freeNow());
  for (int i = 0; i < 9; ++i) {
    report("a", 0, 0, Duration(0));
    CHECK_FALSE(grant().has_value());
    Now += Millis(100);
  }
  Now += Millis(100);
  report("a", 0, 0, Duration(0));
  SlotGrant probe = mustGrant();
  CHECK_FALSE(grant().has_value());
  finish(probe, SlotResult::Shed);
  CHECK_FALSE(grant().has_value());
  Now += ProbeDelay;
  report("a", 0, 0, Duration(0));
  finish(mustGrant(), SlotResult::Done);
  CHECK(grant().has_value());
  // A report with a time in the future does not block later reports.
  report("a", 1, 0, -Seconds(3600));
  Now += Millis(1);
  report("a", 4, 0, Duration(0));
  LONGS_EQUAL(3, freeNow());
  report("a", 1, 0, Duration(0));
  Now += ReportLifetime + Millis(1);
  report("a", 0, 0, Seconds(600));
  expireGrants(Table, Now);
  LONGS_EQUAL(4, freeNow());
}

// Guards against granting slots on targets that are draining.
TEST(SlotTable, DrainingTargetsGetNothingNew) {
  adopt("a");
  report("a", 4, 0, Duration(0), true);
  Now += Seconds(60);
  CHECK_FALSE(grant().has_value());
  report("a", 4, 0, Duration(0));
  CHECK(grant().has_value());
  applyDraining(Table, TargetId("a"), true);
  applyHealthProbe(Table, TargetId("a"), true, Now);
  CHECK_FALSE(grant().has_value());
  applyDraining(Table, TargetId("a"), false);
  CHECK(grant().has_value());
  TargetSpec leaving = spec("a");
  leaving.Draining = true;
  adoptTarget(Table, leaving, false, Now);
  CHECK_FALSE(grant().has_value());
  LONGS_EQUAL(0, usableSlots(Table, VersionId("v1"), Now));
}

// Guards against a dead target that still gets requests, and a recovered one
// that stays unhealthy.
TEST(SlotTable, FailuresTakeTargetOutAndProbesBringItBack) {
  adopt("a");
  for (int i = 0; i < FailureLimit; ++i)
    finish(mustGrant(), SlotResult::Failed);
  applyHealthProbe(Table, TargetId("a"), true, Now);
  for (Duration wait :
       {Seconds(1), Seconds(2), Seconds(4), Seconds(8), Seconds(8)}) {
    Now += wait - Duration(1);
    CHECK_FALSE(grant().has_value());
    Now += Duration(1);
    SlotGrant probe = mustGrant();
    CHECK_FALSE(grant().has_value());
    finish(probe, SlotResult::Failed);
  }
  Now += Seconds(8);
  finish(mustGrant(), SlotResult::Done);
  LONGS_EQUAL(4, grantAll());
}

// Guards against a hung target that only health probes detect, and against
// callers with very short deadlines that make healthy targets unhealthy.
TEST(SlotTable, HealthProbesAndShortTimeouts) {
  adopt("a");
  for (int i = 0; i < 2 * FailureLimit; ++i)
    finish(mustGrant(), SlotResult::TimedOut);
  LONGS_EQUAL(4, freeNow());
  for (int i = 0; i < FailureLimit; ++i)
    applyHealthProbe(Table, TargetId("a"), false, Now);
  LONGS_EQUAL(0, freeNow());
  applyHealthProbe(Table, TargetId("a"), true, Now);
  LONGS_EQUAL(4, freeNow());
  for (int i = 0; i < FailureLimit; ++i) {
    SlotGrant it = mustGrant();
    Now += MinCountedTimeout;
    finish(it, SlotResult::TimedOut);
  }
  LONGS_EQUAL(0, freeNow());
}

// Guards against overloading a cold target, and a warm-up that never ends.
TEST(SlotTable, ColdTargetsRampUp) {
  Table.Service.WarmUp = Seconds(3);
  adopt("a", 4);
  LONGS_EQUAL(1, freeNow());
  Now += Millis(1000);
  LONGS_EQUAL(2, freeNow());
  Now += Millis(1999);
  LONGS_EQUAL(3, freeNow());
  Now += Millis(1);
  LONGS_EQUAL(4, freeNow());
}

// Guards against granting a slot again while the target still runs an abandoned
// request, and against a slot that stays busy permanently.
TEST(SlotTable, AbandonedRequestsKeepTheirSlot) {
  adopt("a", 2);
  SlotGrant first = mustGrant();
  SlotGrant second = mustGrant();
  finish(first, SlotResult::AbandonedBusy);
  finish(second, SlotResult::TimedOutBusy);
  LONGS_EQUAL(0, freeNow());
  CHECK_FALSE(
      releaseSlot(Table, first.Target, first.Number, SlotResult::Done, Now));
  report("a", 2, 0, Duration(0));
  LONGS_EQUAL(0, freeNow());
  Now += InTransitTime + Millis(20);
  report("a", 2, 0, Millis(30));
  LONGS_EQUAL(0, freeNow());
  report("a", 2, 1, Millis(5));
  LONGS_EQUAL(1, freeNow());
  Now += Seconds(1) + SlotExpiryGrace;
  expireGrants(Table, Now);
  LONGS_EQUAL(2, freeNow());
  CHECK(Table.Targets[TargetId("a")].ReleasedWhileBusy.empty());
}
