#include "vm_fixture.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

/// A target must get no requests after this time.
constexpr Duration RemovalLimit = Millis(2500);
/// Pause between two watches of VM entries.
constexpr Duration SystemPause = Millis(1500);
/// Time after an outage from which the limit holds.
constexpr Duration SettleTime = Millis(3000);
/// Live targets restore lapsed entries within this time after an outage.
constexpr Duration RestoreTime = Millis(2000);

} // namespace

TEST_GROUP(LostWatch){};

// Guards against requests to a removed target because a watch that was lost in
// an outage fails several seconds after it.
TEST(LostWatch, LateFailureHoldsARemoval) {
  VmFixture fixture;
  PlatformTarget &target = fixture.addOnlyTarget();
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.runFor(Seconds(2));
  CHECK_TRUE(fixture.isServed(2));
  PlatformStore &store = fixture.Platform.Store;
  std::string address = fixture.Platform.storeAddress();
  // A change ends the watch, so that the next one begins at the end of the
  // outage.
  store.put("status/other", "{}");
  fixture.runFor(Millis(100));
  store.setSilent(address, true);
  fixture.runFor(SystemPause + Millis(50));
  store.setSilent(address, false);
  fixture.runFor(SettleTime);
  target.removeEntry();
  fixture.runFor(RemovalLimit);
  CHECK_FALSE(fixture.isServed(2));
}

// Guards against removing a live target whose entry lapsed in an outage, and
// which can still restore it.
TEST(LostWatch, LapsedTargetIsRemovedAfterAnOutage) {
  for (Duration outage : {Millis(1700), Millis(2600), Millis(4500)}) {
    VmFixture fixture;
    PlatformTarget &target = fixture.addOnlyTarget();
    fixture.addVm(2);
    fixture.waitReady(2);
    fixture.runFor(Seconds(1));
    PlatformStore &store = fixture.Platform.Store;
    std::string address = fixture.Platform.storeAddress();
    store.setSilent(address, true);
    fixture.runFor(outage);
    target.removeEntry();
    store.setSilent(address, false);
    for (MonoTime end = monoNow() + RestoreTime; monoNow() < end;)
      CHECK_TRUE(fixture.isServed(2));
  }
}

// Guards against holding a removal because the store cuts waiting watches,
// though it serves all other calls.
TEST(LostWatch, CutWatchesHoldARemoval) {
  VmFixture fixture;
  PlatformTarget &target = fixture.addOnlyTarget();
  fixture.addVm(2);
  fixture.waitReady(2);
  fixture.runFor(Seconds(1));
  auto cutFor = [&](Duration time) {
    for (MonoTime end = monoNow() + time; monoNow() < end;) {
      fixture.runFor(Millis(1250));
      fixture.Platform.Store.cutWatches();
    }
  };
  cutFor(Millis(2500));
  CHECK_TRUE(fixture.isServed(2));
  target.removeEntry();
  cutFor(RemovalLimit);
  CHECK_FALSE(fixture.isServed(2));
}

// Guards against removing a live target whose entry lapsed in an outage that no
// watch notices, because it is over before the watch ends.
TEST(LostWatch, LapsedTargetIsRemovedByAWatchThatOutlivesTheOutage) {
  VmFixture fixture;
  PlatformTarget &target = fixture.addOnlyTarget();
  fixture.addVm(2);
  fixture.waitReady(2);
  StoreFaults faults;
  faults.Busy = true; // Does not break watches.
  fixture.Platform.Store.setFaults(faults);
  fixture.runFor(Millis(1800));
  target.removeEntry();
  fixture.Platform.Store.setFaults(StoreFaults());
  for (MonoTime end = monoNow() + RestoreTime; monoNow() < end;)
    CHECK_TRUE(fixture.isServed(2));
}
