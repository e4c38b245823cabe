#include "savorylb/ownership.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace savorylb;

namespace {
const MonoTime Late{Seconds(100)};
const VmId A("a"), B("b"), C("c");
} // namespace

TEST_GROUP(Ownership) {
  LeaseTimes Times;
  LeaseGrants Grants;
  OwnershipView View;

  void setup() override {
    View.Self = A;
    View.SelfIncarnation = Incarnation("a1");
    View.PeerEndpoint = "a:1";
    View.Doc = makeZoneDocument(ZoneId("z"), Ppm(100));
    for (int n = 0; n < 6; ++n)
      View.ConfiguredTargets.insert(TargetId("t" + std::to_string(n)));
  }
  OwnershipPlan plan(MonoTime now = Late) {
    return planOwnership(View, Grants, now, Times);
  }
  /// Adds a live member with a named successor.
  void add(const VmId &vm, const VmId &successor, std::int64_t rateShare) {
    ZoneMember &it = View.Doc.Members[vm];
    it.VmIncarnation = Incarnation(vm.Value + "1");
    it.PeerEndpoint = vm.Value + ":1";
    it.Successor = successor;
    it.SuccessorIncarnation = Incarnation(successor.Value + "1");
    it.RateShare = Ppm(rateShare);
    View.Doc.Rev = Revision(9);
    if (vm == View.Self)
      return;
    View.Alive.insert(vm);
    grantLease(Grants, vm, it.VmIncarnation, Late, Times);
  }
  void giveAll(const VmId &vm) {
    for (const auto &it : View.ConfiguredTargets)
      View.Doc.Targets[it] = vm;
    View.Doc.Partitions.assign(PartitionCount, vm);
  }
  static long count(const std::vector<VmId> &owners, const VmId &vm) {
    return std::count(owners.begin(), owners.end(), vm);
  }
  void checkStep(OwnershipStep want, const OwnershipPlan &got) {
    CHECK_EQUAL(static_cast<int>(want), static_cast<int>(got.Step));
  }
};

// Guards against a quarantine in a zone that never had a ledger, and against a
// missing quarantine after the last owner has left with the ledger.
TEST(Ownership, OnlyANewZoneStartsWithoutQuarantine) {
  auto first = plan();
  checkStep(OwnershipStep::Join, first);
  LONGS_EQUAL(16, count(first.Next.Partitions, A));
  LONGS_EQUAL(0, first.Next.QuarantinedAt[3]);
  LONGS_EQUAL(100, first.Next.Members[A].RateShare.Value);
  View.Doc = first.Next;
  checkStep(OwnershipStep::None, plan());
  View.Leaving = true;
  auto left = plan();
  checkStep(OwnershipStep::Leave, left);
  LONGS_EQUAL(0, left.Next.Members.size());
  LONGS_EQUAL(0, left.Next.Targets.size());
  LONGS_EQUAL(16, count(left.Next.Partitions, VmId()));
  LONGS_EQUAL(16, left.ReleasedPartitions.size());
  View.Leaving = false;
  View.Doc = left.Next;
  View.Doc = plan().Next;
  auto claim = plan();
  checkStep(OwnershipStep::Claim, claim);
  LONGS_EQUAL(claim.Next.Rev.Value, claim.Next.QuarantinedAt[3]);
  LONGS_EQUAL(100, claim.Next.Members[A].RateShare.Value);
  View.Doc = claim.Next;
  View.QuarantineEnded = {3};
  LONGS_EQUAL(0, plan().Next.QuarantinedAt[3]);
}

// Guards against a restarted VM that loses or duplicates its resources, and
// against one that replaces its entry without proof that the earlier
// incarnation is dead.
TEST(Ownership, NewIncarnationReplacesItsEntryOnlyWithProof) {
  add(A, B, 60);
  add(B, A, 40);
  giveAll(A);
  View.SelfIncarnation = Incarnation("a2");
  // The successor has the replica and is given time to take over.
  checkStep(OwnershipStep::None, plan(MonoTime(Millis(2'999))));
  auto join = plan(MonoTime(Millis(3'000)));
  checkStep(OwnershipStep::Join, join);
  CHECK(join.Next.Targets == View.Doc.Targets);
  LONGS_EQUAL(60, join.Next.Members[A].RateShare.Value);
  LONGS_EQUAL(10, join.Next.QuarantinedAt[0]);
  CHECK(join.Next.Members[B].Successor.empty());
  View.PeerEndpoint = "elsewhere:1";
  checkStep(OwnershipStep::None, plan());
  View.ProvedDead.insert({A, Incarnation("a1")});
  checkStep(OwnershipStep::Join, plan());
}

// Guards against a takeover without proof by a VM or incarnation other than the
// named successor, against one before the leases have ended, and against an
// unmarked takeover of a ledger without its replica.
TEST(Ownership, TakesOverOnlyWhatItMay) {
  add(A, C, 30);
  add(B, C, 30);
  add(C, A, 40);
  giveAll(C);
  CHECK(plan().Step != OwnershipStep::TakeOver);
  auto later = Late + Seconds(3);
  auto taken = plan(later);
  checkStep(OwnershipStep::TakeOver, taken);
  CHECK(C == taken.AffectedVm);
  LONGS_EQUAL(70, taken.Next.Members[A].RateShare.Value);
  LONGS_EQUAL(16, count(taken.Next.Partitions, A));
  LONGS_EQUAL(10, taken.Next.QuarantinedAt[0]);
  CHECK(taken.Next.Members[B].Successor.empty());
  View.CompleteReplicas = {C};
  LONGS_EQUAL(0, plan(later).Next.QuarantinedAt[0]);
  View.Doc.Members[C].SuccessorIncarnation = Incarnation("a0");
  CHECK(plan(later).Step != OwnershipStep::TakeOver);
  View.ProvedDead.insert({C, Incarnation("c1")});
  checkStep(OwnershipStep::TakeOver, plan(Late));
  // After a recent proof of death, the live successor, which has the replica,
  // is given time to take over.
  View.Doc.Members[C].Successor = B;
  View.Doc.Members[C].SuccessorIncarnation = Incarnation("b1");
  View.ProvedDeadAt[{C, Incarnation("c1")}] = Late;
  CHECK(plan(Late).Step != OwnershipStep::TakeOver);
  checkStep(OwnershipStep::TakeOver, plan(Late + Seconds(1)));
}

// Guards against handoffs that alternate, exceed the zone's rate or do not list
// the resources to stop using, and against a handoff to a departing member.
TEST(Ownership, HandOffsConvergeAndStop) {
  add(A, B, 100);
  add(B, C, 0);
  add(C, A, 0);
  giveAll(A);
  int steps = 0;
  for (auto it = plan(); it.Step != OwnershipStep::None; it = plan()) {
    checkStep(OwnershipStep::HandOff, it);
    CHECK(it.ReleasedRateShare > Ppm(0) || !it.ReleasedTargets.empty() ||
          !it.ReleasedPartitions.empty());
    View.Doc = it.Next;
    CHECK(++steps < 10);
  }
  LONGS_EQUAL(34, View.Doc.Members[A].RateShare.Value);
  LONGS_EQUAL(6, count(View.Doc.Partitions, A));
  LONGS_EQUAL(2, ownedTargets(View.Doc, C, Incarnation("c1")).size());
  for (const auto &vm : {B, C}) {
    View.Self = vm;
    View.SelfIncarnation = Incarnation(vm.Value + "1");
    View.Alive = {A, B, C};
    grantLease(Grants, A, Incarnation("a1"), Late, Times);
    checkStep(OwnershipStep::None, plan());
  }
  View.Departing = {A};
  View.Leaving = true;
  auto left = plan();
  LONGS_EQUAL(10, count(left.Next.Partitions, B));
  LONGS_EQUAL(6, count(left.Next.Partitions, A));
}

// Guards against a planned stop that gives all resources to one member, or that
// leaves behind a silent member that only this VM may take over.
TEST(Ownership, LeavesEvenlyAndAfterTakingOverTheSilent) {
  add(A, B, 50);
  add(B, C, 25);
  add(C, A, 25);
  giveAll(A);
  View.Leaving = true;
  auto left = plan();
  LONGS_EQUAL(8, count(left.Next.Partitions, B));
  LONGS_EQUAL(3, ownedTargets(left.Next, C, Incarnation("c1")).size());
  LONGS_EQUAL(50, left.Next.Members[B].RateShare.Value);
  CHECK(left.Next.Members[C].Successor.empty());
  View.Alive = {B};
  checkStep(OwnershipStep::None, plan(Late + Seconds(2)));
  checkStep(OwnershipStep::TakeOver, plan(Late + Seconds(3)));
}

// Guards against a ring that skips live members and against a successor that is
// not alive.
TEST(Ownership, NamesTheNextLiveMember) {
  add(A, VmId(), 100);
  giveAll(A);
  add(B, A, 0);
  add(C, A, 0);
  CHECK(B == plan().AffectedVm);
  CHECK(Incarnation("b1") == plan().Next.Members[A].SuccessorIncarnation);
  View.Alive = {C};
  CHECK(C == plan().AffectedVm);
  CHECK(A == ringSuccessor(View.Doc, C, {}));
}

// Guards against a document that a round trip through the store changes, and
// against the adoption of a malformed one.
TEST(Ownership, DocumentRoundTripAndFaults) {
  add(A, B, 60);
  add(B, A, 40);
  giveAll(A);
  View.Doc.QuarantinedAt[2] = 7;
  View.Doc.Writer = B;
  std::string text = formatZoneDocument(View.Doc);
  auto back = parseZoneDocument(text);
  CHECK(back.has_value());
  CHECK(text == formatZoneDocument(back.value()));
  LONGS_EQUAL(7, back.value().QuarantinedAt[2]);
  CHECK(back.value().Members.at(A).SuccessorIncarnation == Incarnation("b1"));
  for (const char *bad :
       {"", "[]", "{", R"({"revision":-1})", R"({"revision":"x"})",
        R"({"revision":1,"zone":"z","ratePpm":1,"partitions":["a"]})"})
    CHECK(parseZoneDocument(bad).has_error());
  CHECK(parseZoneDocument(std::string(100'000, '[')).has_error());
}
