#include "steering_state.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
const ServiceId Tiles("tiles");
const VersionId V2("v2");
const VersionId V3("v3");

StorePosition at(std::int64_t revision, std::int64_t era = 0) {
  return {StoreEra(era), Revision(revision)};
}

RolloutOrder order(const VersionId &version, StorePosition revision) {
  return {Tiles, version, Seconds(14), revision};
}

/// A rollout of V2 that was ordered at revision 20 and has a status.
SteeringState makeState(RolloutState status) {
  SteeringState state;
  state.Fleet.Self.Vm = VmId("vm-1");
  state.DocumentsRevision = at(20);
  applyRolloutOrder(state, order(V2, at(20)), Start);
  applyRolloutStatus(state, Tiles, {status, V2, at(30)});
  return state;
}

} // namespace

TEST_GROUP(RolloutRestore){};

// Guards against a rollout that starts again with its order of a new era.
TEST(RolloutRestore, SameOrderOfANewEraGoesOn) {
  SteeringState state = makeState(RolloutState::Running);
  ServiceState &service = state.Services[Tiles];
  service.NewVersionBad = true;
  service.Evidence[RouteId("r")].NewVersion.Failures = 7;
  MonoTime now = Start + Seconds(5);
  CHECK_FALSE(applyRolloutOrder(state, order(V2, at(12, 1)), now));
  // The operator also writes it again although the copy has it.
  CHECK_FALSE(applyRolloutOrder(state, order(V2, at(18, 1)), now + Seconds(3)));
  CHECK_TRUE(service.OrderedAt == Start);
  CHECK_TRUE(service.NewVersionBad);
  LONGS_EQUAL(7, service.Evidence[RouteId("r")].NewVersion.Failures);
  CHECK_TRUE(service.Order->OrderRevision == at(18, 1));
  CHECK_TRUE(service.StatusCoversOrder);
}

// Guards against ignoring an order that repeats an earlier one.
TEST(RolloutRestore, LaterOrderOfTheSameContentIsNew) {
  SteeringState state = makeState(RolloutState::RolledBack);
  CHECK_FALSE(rolloutRuns(state.Services[Tiles]));
  MonoTime now = Start + Seconds(5);
  CHECK_FALSE(applyRolloutOrder(state, order(V2, at(12, 1)), now));
  CHECK_FALSE(rolloutRuns(state.Services[Tiles]));
  now += Seconds(20);
  CHECK_TRUE(applyRolloutOrder(state, order(V2, at(60, 1)), now));
  CHECK_TRUE(rolloutRuns(state.Services[Tiles]));
  CHECK_TRUE(applyRolloutOrder(state, order(V2, at(70, 1)), now));
  // The status of the new order counts, also one of lower rank.
  applyRolloutStatus(state, Tiles, {RolloutState::Running, V2, at(75, 1)});
  CHECK_TRUE(state.Services[Tiles].StatusCoversOrder);
}

// Guards against an order of the copy that replaces the newer one.
TEST(RolloutRestore, OrderOfTheCopyIsOutdated) {
  SteeringState state = makeState(RolloutState::Running);
  CHECK_TRUE(isOutdatedOrder(state, order(V3, at(12, 1))));
  CHECK_FALSE(isOutdatedOrder(state, order(V2, at(12, 1))));
  CHECK_FALSE(isOutdatedOrder(state, order(V3, at(25, 1))));
}

// Guards against taking an order of the new era for one of the copy because of
// its lower revision, and the other way round.
TEST(RolloutRestore, OrderBetweenKnownChangesIsNew) {
  SteeringState state;
  noteOrderChange(state, Tiles, at(20), {at(10), at(15)});
  applyRolloutOrder(state, order(V2, at(20)), Start);
  // The key did not change after 10 and up to 15.
  for (int revision : {1, 10, 16, 19})
    CHECK_TRUE(isOutdatedOrder(state, order(V3, at(revision, 1))));
  for (int revision : {11, 15, 21})
    CHECK_FALSE(isOutdatedOrder(state, order(V3, at(revision, 1))));
  // An era in between may have had the order, too.
  CHECK_TRUE(isOutdatedOrder(state, order(V3, at(12, 2))));
  // The next change leaves out the revision of the previous order.
  noteOrderChange(state, Tiles, at(40), {at(10), at(35)});
  applyRolloutOrder(state, order(V3, at(40)), Start);
  for (int revision : {12, 20, 36})
    CHECK_TRUE(isOutdatedOrder(state, order(V2, at(revision, 1))));
  for (int revision : {21, 35})
    CHECK_FALSE(isOutdatedOrder(state, order(V2, at(revision, 1))));
}

// Guards against judging by what was followed in an older era.
TEST(RolloutRestore, KnownChangesCountForTheNextEraOnly) {
  SteeringState state;
  noteOrderChange(state, Tiles, at(20), {at(10), at(15)});
  applyRolloutOrder(state, order(V2, at(20)), Start);
  noteOrderChange(state, Tiles, at(18, 1), {at(10), at(25)});
  applyRolloutOrder(state, order(V2, at(18, 1)), Start);
  CHECK_TRUE(isOutdatedOrder(state, order(V3, at(12, 2))));
}

// Guards against a completed rollout that is undone by a status of the copy,
// in either order of the documents' arrival.
TEST(RolloutRestore, StatusOfTheCopyDoesNotGoBack) {
  for (bool orderFirst : {true, false}) {
    SteeringState state = makeState(RolloutState::Completed);
    MonoTime now = Start + Seconds(14);
    if (orderFirst)
      applyRolloutOrder(state, order(V2, at(20, 1)), now);
    applyRolloutStatus(state, Tiles, {RolloutState::Running, V2, at(25, 1)});
    if (!orderFirst)
      applyRolloutOrder(state, order(V2, at(20, 1)), now);
    CHECK_FALSE(rolloutRuns(state.Services[Tiles]));
    CHECK_TRUE(state.Services[Tiles].Status.State == RolloutState::Completed);
  }
}

// Guards against a known status that no longer counts because its order was
// written again after it.
TEST(RolloutRestore, SameStatusCountsForTheOrderWrittenAgain) {
  SteeringState state = makeState(RolloutState::Completed);
  MonoTime now = Start + Seconds(14);
  applyRolloutOrder(state, order(V2, at(20, 1)), now);
  applyRolloutOrder(state, order(V2, at(45, 1)), now);
  applyRolloutStatus(state, Tiles, {RolloutState::Completed, V2, at(30, 1)});
  CHECK_FALSE(rolloutRuns(state.Services[Tiles]));
}

// Guards against a store that keeps an older status, or none.
TEST(RolloutRestore, LostStatusIsWrittenAgain) {
  for (bool lost : {true, false}) {
    SteeringState state = makeState(RolloutState::Completed);
    MonoTime now = Start + Seconds(14);
    LONGS_EQUAL(0, reviewRollouts(state, now).size());
    if (lost)
      loseRolloutStatus(state, Tiles, at(28, 1));
    else
      applyRolloutStatus(state, Tiles, {RolloutState::Running, V2, at(25, 1)});
    // The order must be in the store first.
    LONGS_EQUAL(0, reviewRollouts(state, now).size());
    state.DocumentsRevision = at(28, 1);
    LONGS_EQUAL(0, reviewRollouts(state, now).size());
    applyRolloutOrder(state, order(V2, at(20, 1)), now);
    auto changes = reviewRollouts(state, now);
    LONGS_EQUAL(1, changes.size());
    CHECK_TRUE(changes[0].State == RolloutState::Completed);
    CHECK_TRUE(changes[0].ReplacedRevision == (lost ? at(0, 1) : at(25, 1)));
    applyRolloutStatus(state, Tiles, {RolloutState::Completed, V2, at(33, 1)});
    LONGS_EQUAL(0, reviewRollouts(state, now).size());
  }
}

// Guards against all VMs that write a lost status at the same time.
TEST(RolloutRestore, OtherVmsWriteFirst) {
  SteeringState state = makeState(RolloutState::Running);
  state.DocumentsRevision = at(28, 1);
  PeerReport report;
  report.Vm.Vm = VmId("vm-0");
  MonoTime now = Start + Seconds(2);
  applyPeerReport(state, report, now);
  applyRolloutOrder(state, order(V2, at(20, 1)), now);
  loseRolloutStatus(state, Tiles, at(28, 1));
  LONGS_EQUAL(0, reviewRollouts(state, now).size());
  auto changes = reviewRollouts(state, now + Millis(700));
  LONGS_EQUAL(1, changes.size());
  CHECK_TRUE(changes[0].State == RolloutState::Running);
}
