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
  CHECK_FALSE(mayTransmit(state, startOf(entry)));
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
