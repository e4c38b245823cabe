#include "savorylb/lease_grants.h"

#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace savorylb;

namespace {
const VmId Holder("a");
const Incarnation Life("1");
MonoTime at(std::int64_t ms) { return MonoTime(Millis(ms)); }
} // namespace

TEST_GROUP(Lease) {
  LeaseTimes Times;
  Lease Own;
  LeaseGrants Grants;
};

// Guards against use after the successor took over, whatever the clocks read:
// offsets do not matter and drift of 2% either way is covered.
TEST(Lease, HolderStopsBeforeSuccessorTakesOverForAnyOffsetAndDrift) {
  for (double holderRate : {0.98, 1.0, 1.02})
    for (double grantorRate : {0.98, 1.0, 1.02})
      for (std::int64_t offset : {5'000, 90'000'000})
        for (std::int64_t travel : {0, 700, 2'400}) {
          Lease own;
          LeaseGrants grants;
          auto holder = [&](double ms) {
            return at(offset + std::llround(ms * holderRate));
          };
          auto grantor = [&](double ms) {
            return at(10'000 + std::llround(ms * grantorRate));
          };
          CHECK(grantLease(grants, Holder, Life, grantor(travel), Times));
          // The reply takes as long as the request.
          renewLease(own, holder(0), Times);
          tickLease(own, holder(2 * travel), Times);
          for (std::int64_t ms = 2 * travel; ms < 8'000; ++ms) {
            // Without ticks the pause check would hide a lease that is too
            // long.
            tickLease(own, holder(ms), Times);
            CHECK_FALSE(
                mayTakeOver(grants, Holder, Life, grantor(ms), Times, false) &&
                holdsLease(own, holder(ms), Times));
          }
        }
}

// Guards against a late reply to an old request that lengthens the lease or
// ends the doubt after a pause.
TEST(Lease, CountsFromTheRequestAndConfirmsOnlyAfterThePause) {
  tickLease(Own, at(1'000), Times);
  tickLease(Own, at(5'000), Times);
  renewLease(Own, at(4'000), Times);
  CHECK_FALSE(holdsLease(Own, at(5'000), Times));
  renewLease(Own, at(5'000), Times);
  CHECK(holdsLease(Own, at(6'900), Times));
  tickLease(Own, at(6'900), Times);
  CHECK_FALSE(holdsLease(Own, at(7'500), Times));
}

// Guards against a VM without successor that goes on after a long pause
// without having asked anybody.
TEST(Lease, PauseNeedsConfirmationEvenWithoutSuccessor) {
  Own.NoSuccessor = true;
  tickLease(Own, at(1'000), Times);
  CHECK(holdsLease(Own, at(2'900), Times));
  CHECK_FALSE(holdsLease(Own, at(3'001), Times));
  tickLease(Own, at(3'001), Times);
  CHECK_FALSE(holdsLease(Own, at(3'001), Times));
  confirmStore(Own, at(3'000));
  CHECK_FALSE(holdsLease(Own, at(3'001), Times));
  confirmStore(Own, at(3'001));
  CHECK(holdsLease(Own, at(3'001), Times));
}

// Guards against use on the old successor's lease while the store may already
// name another VM, which has granted nothing.
TEST(Lease, EveryPossibleSuccessorMustHaveGranted) {
  adoptSuccessor(Own, VmId("b"), Life);
  renewLease(Own, at(0), Times);
  addCandidate(Own, VmId("c"), Life);
  CHECK_FALSE(holdsLease(Own, at(10), Times));
  renewCandidate(Own, VmId("c"), Life, at(10), Times);
  CHECK(holdsLease(Own, at(2'499), Times));
  CHECK_FALSE(holdsLease(Own, at(2'500), Times));
  adoptSuccessor(Own, VmId("c"), Life);
  CHECK(holdsLease(Own, at(2'509), Times));
  CHECK_FALSE(holdsLease(Own, at(2'510), Times));
}

// Guards against a VM that was taken over during a pause, finds that its
// successor died since, and goes on.
TEST(Lease, ProofThatTheSuccessorDiedCountsOnlyWhileItsLeaseHolds) {
  adoptSuccessor(Own, VmId("b"), Life);
  renewLease(Own, at(0), Times);
  Lease late = Own;
  markSuccessorDead(late, at(2'500));
  CHECK_FALSE(holdsLease(late, at(2'500), Times));
  markSuccessorDead(Own, at(2'499));
  addCandidate(Own, VmId("c"), Life);
  renewCandidate(Own, VmId("c"), Life, at(0), Times);
  late = Own;
  markCandidateDead(Own, VmId("c"), Life, at(2'499));
  CHECK(holdsLease(Own, at(60'000), Times));
  markCandidateDead(late, VmId("c"), Life, at(2'500));
  CHECK_FALSE(holdsLease(late, at(2'500), Times));
}

// Guards against a takeover by a restarted successor that forgot its grants,
// and against a lease granted during a takeover.
TEST(Lease, SuccessorWaitsAfterItsStartAndGrantsNothingDuringTakeover) {
  Grants.StartedAt = at(10'000);
  CHECK_FALSE(mayTakeOver(Grants, Holder, Life, at(12'999), Times, false));
  CHECK(mayTakeOver(Grants, Holder, Life, at(12'999), Times, true));
  CHECK(mayTakeOver(Grants, Holder, Life, at(13'000), Times, false));
  restartGrace(Grants, at(20'000));
  CHECK_FALSE(mayTakeOver(Grants, Holder, Life, at(22'999), Times, false));
  beginTakeover(Grants, Holder, Life, at(23'000));
  CHECK_FALSE(grantLease(Grants, Holder, Life, at(23'000), Times));
  abandonTakeover(Grants, Holder, Life);
  CHECK(grantLease(Grants, Holder, Life, at(23'000), Times));
}
