#include "savorylb/lease_grants.h"

#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace savorylb;

namespace {
const VmId Holder("a");
const Incarnation AnyIncarnation("1");
MonoTime at(std::int64_t ms) { return MonoTime(Millis(ms)); }
} // namespace

TEST_GROUP(Lease) {
  LeaseTimes Times;
  Lease Own;
  LeaseGrants Grants;
};

// Guards against a holder that uses its lease after the successor took over.
// Covers any clock offset and a drift of up to 2% in either direction.
TEST(Lease, HolderStopsBeforeSuccessorTakesOverForAnyOffsetAndDrift) {
  for (double holderRate : {0.98, 1.0, 1.02})
    for (double grantorRate : {0.98, 1.0, 1.02})
      for (std::int64_t offset : {5'000, 90'000'000})
        for (std::int64_t delay : {0, 700, 2'400}) {
          Lease own;
          LeaseGrants grants;
          auto holder = [&](double ms) {
            return at(offset + std::llround(ms * holderRate));
          };
          auto grantor = [&](double ms) {
            return at(10'000 + std::llround(ms * grantorRate));
          };
          CHECK(grantLease(grants, Holder, AnyIncarnation, grantor(delay),
                           Times));
          // The reply takes as long as the request.
          renewLease(own, holder(0), Times);
          detectPause(own, holder(2 * delay), Times);
          for (std::int64_t ms = 2 * delay; ms < 8'000; ++ms) {
            // Without ticks the pause check would end the lease and hide that
            // it is too long.
            detectPause(own, holder(ms), Times);
            CHECK_FALSE(mayTakeOver(grants, Holder, AnyIncarnation, grantor(ms),
                                    Times, false) &&
                        holdsLease(own, holder(ms), Times));
          }
        }
}

// Guards against a late reply to an old request that extends the lease or
// counts as confirmation after a pause.
TEST(Lease, CountsFromTheRequestAndConfirmsOnlyAfterThePause) {
  detectPause(Own, at(1'000), Times);
  detectPause(Own, at(5'000), Times);
  renewLease(Own, at(4'000), Times);
  CHECK_FALSE(holdsLease(Own, at(5'000), Times));
  renewLease(Own, at(5'000), Times);
  CHECK(holdsLease(Own, at(6'900), Times));
  detectPause(Own, at(6'900), Times);
  CHECK_FALSE(holdsLease(Own, at(7'500), Times));
}

// Guards against a VM without successor that continues after a long pause
// without having reached the store.
TEST(Lease, PauseNeedsConfirmationEvenWithoutSuccessor) {
  Own.NoSuccessor = true;
  detectPause(Own, at(1'000), Times);
  CHECK(holdsLease(Own, at(2'900), Times));
  CHECK_FALSE(holdsLease(Own, at(3'001), Times));
  detectPause(Own, at(3'001), Times);
  CHECK_FALSE(holdsLease(Own, at(3'001), Times));
  recordStoreContact(Own, at(3'000));
  CHECK_FALSE(holdsLease(Own, at(3'001), Times));
  recordStoreContact(Own, at(3'001));
  CHECK(holdsLease(Own, at(3'001), Times));
}

// Guards against a holder that relies on the old successor's lease while the
// store may already name another VM, which has granted no lease.
TEST(Lease, EveryPossibleSuccessorMustHaveGranted) {
  adoptSuccessor(Own, VmId("b"), AnyIncarnation);
  renewLease(Own, at(0), Times);
  addCandidate(Own, VmId("c"), AnyIncarnation);
  CHECK_FALSE(holdsLease(Own, at(10), Times));
  renewCandidate(Own, VmId("c"), AnyIncarnation, at(10), Times);
  CHECK(holdsLease(Own, at(2'499), Times));
  CHECK_FALSE(holdsLease(Own, at(2'500), Times));
  adoptSuccessor(Own, VmId("c"), AnyIncarnation);
  CHECK(holdsLease(Own, at(2'509), Times));
  CHECK_FALSE(holdsLease(Own, at(2'510), Times));
}

// Guards against a VM that continues although it was taken over during a pause,
// because its successor has died since.
TEST(Lease, ProofThatTheSuccessorDiedCountsOnlyWhileItsLeaseHolds) {
  adoptSuccessor(Own, VmId("b"), AnyIncarnation);
  renewLease(Own, at(0), Times);
  Lease late = Own;
  markSuccessorDead(late, at(2'500));
  CHECK_FALSE(holdsLease(late, at(2'500), Times));
  markSuccessorDead(Own, at(2'499));
  addCandidate(Own, VmId("c"), AnyIncarnation);
  renewCandidate(Own, VmId("c"), AnyIncarnation, at(0), Times);
  late = Own;
  markCandidateDead(Own, VmId("c"), AnyIncarnation, at(2'499));
  CHECK(holdsLease(Own, at(60'000), Times));
  markCandidateDead(late, VmId("c"), AnyIncarnation, at(2'500));
  CHECK_FALSE(holdsLease(late, at(2'500), Times));
}

// Guards against a takeover by a successor that lost its grants in a restart,
// and against a lease granted during a takeover.
TEST(Lease, SuccessorWaitsAfterItsStartAndGrantsNothingDuringTakeover) {
  Grants.GraceStartedAt = at(10'000);
  CHECK_FALSE(
      mayTakeOver(Grants, Holder, AnyIncarnation, at(12'999), Times, false));
  CHECK(mayTakeOver(Grants, Holder, AnyIncarnation, at(12'999), Times, true));
  CHECK(mayTakeOver(Grants, Holder, AnyIncarnation, at(13'000), Times, false));
  restartGracePeriod(Grants, at(20'000));
  CHECK_FALSE(
      mayTakeOver(Grants, Holder, AnyIncarnation, at(22'999), Times, false));
  beginTakeover(Grants, Holder, AnyIncarnation, at(23'000));
  CHECK_FALSE(grantLease(Grants, Holder, AnyIncarnation, at(23'000), Times));
  abandonTakeover(Grants, Holder, AnyIncarnation);
  CHECK(grantLease(Grants, Holder, AnyIncarnation, at(23'000), Times));
}
