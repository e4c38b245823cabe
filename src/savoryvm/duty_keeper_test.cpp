#include "vm_fixture.h"

#include "usage_protocol.h"

using namespace savorylb;
using namespace savorylb::standin;

TEST_GROUP(DutyKeeper){};

// Guards against renewing another lease than that of the claim, which then
// expires while this VM acts, when the answer to an earlier claim was lost.
TEST(DutyKeeper, ClaimWithLostAnswerIsNotTakenWithAnotherLease) {
  VmFixture fixture;
  PlatformStore &store = fixture.Platform.Store;
  DutyState duty;
  duty.Self = VmId("vm-2");
  duty.StartId = "1";
  duty.Limits = {Millis(2500), Millis(200), true};
  DutyKeeper keeper(fixture.Io, fixture.Platform.storeAddress(),
                    platform::UsageDutyKey, duty, Millis(1000));
  keeper.onListed();
  keeper.tick(0);
  while (store.calls() < 1)
    fixture.Io.run_one();
  // The lease is granted; the answers to the claim and to the read are lost.
  StoreFaults faults;
  faults.DropResponses = true;
  store.setFaults(faults);
  CHECK_TRUE(fixture.waitUntil([&] { return store.calls() >= 3; }));
  fixture.runFor(Millis(900));
  store.setFaults(StoreFaults());
  int acted = 0;
  for (MonoTime end = monoNow() + Seconds(6); monoNow() < end;) {
    keeper.tick(0);
    fixture.runFor(Millis(20));
    bool present = !store.get(platform::UsageDutyKey).empty();
    // As a watch shows it, which takes up to 1.5 s.
    if (!present && keeper.duty().Known && !keeper.duty().Held)
      keeper.onChange({platform::UsageDutyKey, "",
                       keeper.duty().Known->Position, true, false});
    acted += mayAct(keeper.duty(), monoNow());
    CHECK_TRUE(present || !mayAct(keeper.duty(), monoNow()));
  }
  CHECK_TRUE(acted > 0);
}
