#include "steering_state.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
const ServiceId Tiles("tiles");

TargetEntry makeEntry(const std::string &id, std::int64_t startId = 7) {
  TargetEntry entry;
  entry.Id = TargetId(id);
  entry.Address = "10.0.0.1:80";
  entry.Zone = ZoneId("tema-a");
  entry.Service = Tiles;
  entry.Version = VersionId("v1");
  entry.Slots = 4;
  entry.StartId = startId;
  return entry;
}

SteeringState makeState() {
  SteeringState state;
  state.Zones = {{ZoneId("tema-a"), RegionId("tema")}};
  state.Fleet.Self.Zone = ZoneId("tema-a");
  state.Fleet.Self.Region = RegionId("tema");
  SteerConfig config;
  config.Version = 1;
  RouteRule route;
  route.Host = "maps.example";
  route.PathPrefix = "/";
  route.Timeout = Millis(2000);
  route.LatencyTarget = Millis(250);
  route.MaxTargets = 2;
  route.Splits = {{Tiles, 1}};
  config.Routes = {route};
  applyConfig(state, config);
  updateTarget(state, makeEntry("i-1"), Start);
  return state;
}

SteeredRequest admit(SteeringState &state, MonoTime now) {
  SteeredRequest request;
  request.ArrivedAt = now;
  request.Deadline = now + Seconds(2);
  admitRequest(state, request, "maps.example", "/1", "", now);
  return request;
}

PlacementChoice choose(SteeringState &state, MonoTime now) {
  SteeredRequest request = admit(state, now);
  return chooseTarget(state, request, now);
}

bool isUsed(SteeringState &state, const std::string &id, MonoTime now) {
  PlacementChoice choice = choose(state, now);
  return choice.Target && choice.Target->Entry.Id == TargetId(id);
}

} // namespace

TEST_GROUP(TargetAvailability){};

// Guards against requests to a leaving target when its entry is written again.
TEST(TargetAvailability, LeavingTargetIsNotUsedUntilItStartsAgain) {
  SteeringState state = makeState();
  CHECK_TRUE(isUsed(state, "i-1", Start));
  TargetEntry entry = makeEntry("i-1");
  CHECK_TRUE(markLeaving(state, startOf(entry), Start));
  CHECK_FALSE(markLeaving(state, startOf(entry), Start));
  entry.Sequence = 9;
  updateTarget(state, entry, Start + Seconds(1));
  PlacementChoice choice = choose(state, Start + Seconds(1));
  POINTERS_EQUAL(nullptr, choice.Target);
  CHECK_TRUE(choice.RetryAfter > Duration::zero());
  CHECK_FALSE(mayTransmit(state, startOf(entry), Start + Seconds(1)));
  updateTarget(state, makeEntry("i-1", 8), Start + Seconds(2));
  CHECK_TRUE(isUsed(state, "i-1", Start + Seconds(2)));
}

// Guards against ignoring a target that continues at another address.
TEST(TargetAvailability, AnotherAddressEndsTheDeparture) {
  SteeringState state = makeState();
  TargetEntry entry = makeEntry("i-1");
  markLeaving(state, startOf(entry), Start);
  entry.Address = "10.0.0.2:80";
  updateTarget(state, entry, Start);
  CHECK_TRUE(isUsed(state, "i-1", Start));
}

// Guards against a late response of the previous start that takes the restarted
// target out of use.
TEST(TargetAvailability, AnnouncementOfAnEarlierStartIsIgnored) {
  SteeringState state = makeState();
  updateTarget(state, makeEntry("i-1", 8), Start);
  CHECK_FALSE(markLeaving(state, startOf(makeEntry("i-1", 7)), Start));
  CHECK_TRUE(isUsed(state, "i-1", Start));
}

// Guards against forgetting a departure that was announced before or after the
// entry was removed.
TEST(TargetAvailability, DepartureOutlivesTheEntry) {
  for (bool beforeRemoval : {true, false}) {
    SteeringState state = makeState();
    TargetEntry entry = makeEntry("i-1");
    if (beforeRemoval)
      markLeaving(state, startOf(entry), Start);
    eraseTarget(state, entry.Id, Start);
    if (!beforeRemoval)
      markLeaving(state, startOf(entry), Start);
    updateTarget(state, entry, Start + Seconds(5));
    CHECK_FALSE(isUsed(state, "i-1", Start + Seconds(5)));
    eraseTarget(state, entry.Id, Start + Seconds(6));
    updateTarget(state, makeEntry("i-1", 8), Start + Seconds(7));
    CHECK_TRUE(isUsed(state, "i-1", Start + Seconds(7)));
  }
}

// Guards against notices of removed targets that accumulate.
TEST(TargetAvailability, RetainedNoticesExpire) {
  SteeringState state = makeState();
  markLeaving(state, startOf(makeEntry("i-1")), Start);
  eraseTarget(state, TargetId("i-1"), Start);
  LONGS_EQUAL(1, state.Retained.size());
  MonoTime later = Start + NoticeRetention + Seconds(1);
  updateTarget(state, makeEntry("i-2"), later);
  eraseTarget(state, TargetId("i-2"), later);
  LONGS_EQUAL(0, state.Retained.size());
}

// Guards against a send that was not transmitted and still counts as load of
// the target or as one of the request's targets.
TEST(TargetAvailability, CancelledSendLeavesNoTrace) {
  SteeringState state = makeState();
  SteeredRequest request = admit(state, Start);
  TargetState &target = state.Targets[TargetId("i-1")];
  recordSend(state, request, target, Start);
  cancelSend(state, request, target.Entry.Id, Start);
  CHECK_TRUE(target.InFlight.empty());
  CHECK_TRUE(request.Tried.empty());
}

// Guards against a shorter pause that ends a longer one, and against several
// log lines for one pause.
TEST(TargetAvailability, LaterEndOfTwoPausesHolds) {
  SteeringState state = makeState();
  TargetStart start = startOf(makeEntry("i-1"));
  CHECK_FALSE(pauseTarget(state, start, Duration::zero(), Start));
  CHECK_TRUE(pauseTarget(state, start, Millis(800), Start));
  CHECK_FALSE(pauseTarget(state, start, Millis(100), Start + Millis(50)));
  CHECK_FALSE(isUsed(state, "i-1", Start + Millis(799)));
  CHECK_FALSE(mayTransmit(state, start, Start + Millis(799)));
  CHECK_TRUE(isUsed(state, "i-1", Start + Millis(800)));
  CHECK_TRUE(mayTransmit(state, start, Start + Millis(800)));
  CHECK_TRUE(pauseTarget(state, start, Millis(300), Start + Seconds(1)));
  CHECK_FALSE(pauseTarget(state, start, Millis(900), Start + Millis(1200)));
  CHECK_FALSE(isUsed(state, "i-1", Start + Millis(2000)));
}

// Guards against a pause of an earlier start that applies to a restarted
// target, and against one that is forgotten when the entry is removed.
TEST(TargetAvailability, PauseHoldsForOneStart) {
  SteeringState state = makeState();
  TargetStart start = startOf(makeEntry("i-1"));
  pauseTarget(state, start, Seconds(9), Start);
  eraseTarget(state, start.Id, Start);
  updateTarget(state, makeEntry("i-1"), Start + Seconds(1));
  CHECK_FALSE(isUsed(state, "i-1", Start + Seconds(1)));
  updateTarget(state, makeEntry("i-1", 8), Start + Seconds(2));
  CHECK_TRUE(isUsed(state, "i-1", Start + Seconds(2)));
  CHECK_FALSE(pauseTarget(state, start, Seconds(9), Start + Seconds(2)));
  CHECK_TRUE(isUsed(state, "i-1", Start + Seconds(2)));
}

// Guards against a Retry-After that does not match the earliest end of a pause,
// and against refusing requests that another target can serve.
TEST(TargetAvailability, RefusesUntilTheEarliestPauseEnds) {
  SteeringState state = makeState();
  updateTarget(state, makeEntry("i-2"), Start);
  pauseTarget(state, startOf(makeEntry("i-1")), Millis(900), Start);
  CHECK_TRUE(isUsed(state, "i-2", Start));
  pauseTarget(state, startOf(makeEntry("i-2")), Millis(600), Start);
  PlacementChoice choice = choose(state, Start);
  POINTERS_EQUAL(nullptr, choice.Target);
  STRCMP_EQUAL("paused", choice.Reason);
  CHECK_TRUE(choice.RetryAfter >= Millis(600));
  CHECK_TRUE(choice.RetryAfter <= Millis(700));
  // Limited to the time that the caller has left.
  pauseTarget(state, startOf(makeEntry("i-1")), Seconds(30), Start);
  pauseTarget(state, startOf(makeEntry("i-2")), Seconds(30), Start);
  CHECK_TRUE(choose(state, Start).RetryAfter == Seconds(2));
}

// Guards against a request that is refused as if no target existed when the
// only other one has refused it before.
TEST(TargetAvailability, TriedTargetsDoNotCountAsUsable) {
  SteeringState state = makeState();
  updateTarget(state, makeEntry("i-2"), Start);
  pauseTarget(state, startOf(makeEntry("i-1")), Millis(900), Start);
  SteeredRequest request = admit(state, Start);
  request.Tried = {TargetId("i-2")};
  CHECK_TRUE(chooseTarget(state, request, Start).AllPaused);
}

// Guards against callers that are told to return all at once when a pause ends.
TEST(TargetAvailability, RefusedRequestsReturnSpreadOut) {
  SteeringState state = makeState();
  pauseTarget(state, startOf(makeEntry("i-1")), Seconds(1), Start);
  MonoTime first = Start + Millis(2000);
  MonoTime last = Start;
  for (int i = 0; i < 20; ++i) {
    MonoTime now = Start + i * Millis(23);
    MonoTime back = now + choose(state, now).RetryAfter;
    first = std::min(first, back);
    last = std::max(last, back);
  }
  CHECK_TRUE(first >= Start + Seconds(1));
  CHECK_TRUE(last - first > Millis(50));
}

// Guards against overloading a target at the end of its pause: without newer
// load reports, only requests that find a free slot are sent.
TEST(TargetAvailability, NotAllRequestsAreSentWhenAPauseEnds) {
  SteeringState state = makeState();
  TargetState &target = state.Targets[TargetId("i-1")];
  recordLoad(target, {4, 8, 4}, Start);
  pauseTarget(state, startOf(target.Entry), Millis(900), Start);
  MonoTime now = Start + Millis(900);
  int sent = 0;
  for (int i = 0; i < 40; ++i) {
    SteeredRequest request = admit(state, now);
    if (chooseTarget(state, request, now).Target) {
      recordSend(state, request, target, now);
      ++sent;
    }
  }
  CHECK_TRUE(sent >= 1);
  CHECK_TRUE(sent <= 4);
}
