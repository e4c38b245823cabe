#include "duty_lease.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(DutyLease) {
  DutyState Duty;

  void setup() override {
    Duty.Self = VmId("a");
    Duty.StartId = "s1";
    Duty.Limits = {Millis(3000), Millis(300), true};
  }
  static MonoTime at(int ms) { return MonoTime(Seconds(100) + Millis(ms)); }
  static StorePosition pos(std::int64_t revision, std::int64_t era = 1) {
    return {StoreEra(era), Revision(revision)};
  }
  static DutyClaim claim(const char *vm, StorePosition position) {
    return {VmId(vm), "s1", 7, position};
  }
  void gain(std::int64_t revision, int ms) {
    gainDuty(Duty, 7, pos(revision), at(ms + 3000), at(ms));
  }
  std::optional<DutyLoss> see(const char *vm, StorePosition position, int ms) {
    return noteClaim(Duty, claim(vm, position), position, at(ms));
  }
  std::optional<DutyLoss> seeNone(StorePosition position, int ms) {
    return noteClaim(Duty, std::nullopt, position, at(ms));
  }
};

// Guards against a holder that was paused past its lease and then acts.
TEST(DutyLease, PausedHolderDoesNotAct) {
  gain(10, 0);
  CHECK_TRUE(mayAct(Duty, at(2699)));
  CHECK_FALSE(mayAct(Duty, at(2700)));
  CHECK_TRUE(dutyExpired(Duty, at(60'000)));
}

// Guards against calls that outlast the lease of a holder that is cut off from
// the store, and against a lease that is counted from its answer.
TEST(DutyLease, HolderCutOffFromTheStoreStops) {
  gain(10, 0);
  renewDuty(Duty, at(1000), Millis(3000));
  CHECK_TRUE(renewalDue(Duty, at(1000), at(2000)));
  CHECK_TRUE(callLimit(Duty, at(1700)) == Millis(2000));
  CHECK_TRUE(callLimit(Duty, at(4000)) == Duration::zero());
}

// Guards against taking the claim of an earlier attempt, whose lease nobody
// renews, for the one whose answer was lost, and against leaving it.
TEST(DutyLease, RecognizesTheClaimOfALostAnswer) {
  CHECK_TRUE(isOwnClaim(Duty, claim("a", pos(10)), 7));
  CHECK_FALSE(isOwnClaim(Duty, claim("a", pos(10)), 8));
  CHECK_FALSE(isOwnClaim(Duty, claim("b", pos(10)), 7));
  see("a", pos(10), 0);
  CHECK_TRUE(isAbandonedClaim(Duty));
}

// Guards against claims of all VMs at once, or while another holds the duty.
TEST(DutyLease, ClaimsInOrderWhenVacant) {
  CHECK_FALSE(claimDue(Duty, 0, at(0))); // Not listed yet.
  seeNone(StorePosition(), 0);
  CHECK_TRUE(claimDue(Duty, 0, at(0)));
  CHECK_FALSE(claimDue(Duty, 2, at(599)));
  see("b", pos(10), 0);
  CHECK_FALSE(claimDue(Duty, 0, at(60'000)));
}

// Guards against the order A, B, A within a lease, also after a 409.
TEST(DutyLease, DoesNotReclaimWithinALease) {
  gain(10, 0);
  loseDuty(Duty, at(500));
  CHECK_FALSE(mayAct(Duty, at(500)));
  CHECK_TRUE(isAbandonedClaim(Duty));
  seeNone(pos(12), 600);
  CHECK_FALSE(claimDue(Duty, 0, at(3799)));
  CHECK_TRUE(claimDue(Duty, 0, at(3800)));
}

// Guards against old news that bring back a removed claim or end a newer one.
TEST(DutyLease, IgnoresOlderNews) {
  see("b", pos(10), 0);
  seeNone(pos(12), 0);
  see("b", pos(10), 0);
  CHECK_TRUE(claimDue(Duty, 0, at(0)));
  gain(14, 0);
  CHECK_FALSE(seeNone(pos(12), 0).has_value());
}

// Guards against acting with a claim that the store, restored from an older
// copy, still contains, and against tokens that go back.
TEST(DutyLease, RestoredStoreEndsTheDuty) {
  gain(10, 0);
  CHECK_TRUE(see("a", pos(10, 2), 0) == DutyLoss::NewEra);
  CHECK_FALSE(mayAct(Duty, at(0)));
  CHECK_TRUE(fencingToken(pos(3, 2)) > fencingToken(pos(900, 1)));
}

// Guards against late calls of a holder that this VM, cut off from the store,
// did not see, where the platform does not check tokens.
TEST(DutyLease, IsQuietWithoutFencing) {
  Duty.Limits.Fencing = false;
  gain(10, 0);
  loseDuty(Duty, at(0));
  gain(20, 10'000);
  renewDuty(Duty, at(12'000), Millis(3000));
  CHECK_FALSE(mayAct(Duty, at(13'299)));
  CHECK_TRUE(mayAct(Duty, at(13'300)));
}
