#include "planned_stop.h"
#include "steering_state.h"

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const MonoTime Signal = MonoTime(Seconds(100));
const PlannedStop Stop{Signal, Seconds(6)};
const MonoTime Far = Signal + Seconds(60);

const ServiceId Reports("reports");

/// One target and a route whose requests take 1.6 s and may take 20 s.
struct StopFixture {
  SteeringState State;

  StopFixture() {
    State.Zones = {{ZoneId("tema-a"), RegionId("tema")}};
    State.Fleet.Self.Zone = ZoneId("tema-a");
    State.Fleet.Self.Region = RegionId("tema");
    SteerConfig config;
    config.Version = 1;
    RouteRule route;
    route.Host = "maps.example";
    route.PathPrefix = "/";
    route.Retry = RetryRule::Retryable;
    route.Timeout = Seconds(20);
    route.LatencyTarget = Millis(2500);
    route.MaxTargets = 2;
    route.Splits = {{Reports, 1}};
    config.Routes = {route};
    applyConfig(State, config);
    TargetEntry entry;
    entry.Id = TargetId("i-1");
    entry.Zone = ZoneId("tema-a");
    entry.Service = Reports;
    entry.Version = VersionId("v1");
    entry.Slots = 4;
    entry.StartId = 7;
    updateTarget(State, entry, Signal - Seconds(50));
    State.Services[Reports].ProcessingTimes[config.Routes[0].Id] = {1600, 1600};
    State.Stop = Stop;
  }

  PlacementChoice choose(Duration sinceSignal, Duration timeout = Seconds(20)) {
    MonoTime now = Signal + sinceSignal;
    SteeredRequest request;
    request.ArrivedAt = now;
    request.Deadline = now + timeout;
    LONGS_EQUAL(
        0, admitRequest(State, request, "maps.example", "/1", "", now).Status);
    return chooseTarget(State, request, now);
  }
};

} // namespace

TEST_GROUP(PlannedStop){};

// Guards against phases in another order, and against requests that are taken
// from callers later than 3 s after the signal.
TEST(PlannedStop, PhasesOverlap) {
  for (int seconds : {1, 2, 4, 6, 10, 30}) {
    PlannedStop stop{Signal, Seconds(seconds)};
    CHECK_TRUE(Signal < acceptsUntil(stop));
    CHECK_TRUE(acceptsUntil(stop) < closesIdleAt(stop));
    CHECK_TRUE(closesIdleAt(stop) <= Signal + Seconds(3));
    CHECK_TRUE(closesIdleAt(stop) <= releasesResponsesAt(stop));
    CHECK_TRUE(releasesResponsesAt(stop) <= cutsOffAt(stop));
    CHECK_TRUE(cutsOffAt(stop) < endsAt(stop));
    CHECK_TRUE(endsAt(stop) < Signal + Seconds(seconds));
  }
  // Callers keep a lookup for at most 2 s.
  CHECK_TRUE(acceptsUntil(Stop) > Signal + Seconds(2));
}

// Guards against requests in progress that are cut off before the last sixth of
// the grace period.
TEST(PlannedStop, RequestsAreCutOffEarly) {
  for (int seconds : {6, 10, 30}) {
    PlannedStop stop{Signal, Seconds(seconds)};
    MonoTime lastSixth = Signal + Duration(Seconds(seconds)) * 5 / 6;
    CHECK_TRUE(cutsOffAt(stop) >= lastSixth);
    CHECK_TRUE(releasesResponsesAt(stop) >= lastSixth);
  }
}

// Guards against sending a request that will be cut off, and against refusing
// one that ends in time.
TEST(PlannedStop, RequestThatCannotEndIsSent) {
  Duration work = Millis(1600);
  CHECK_TRUE(endsBeforeStop(Stop, work, Far, Signal));
  CHECK_TRUE(endsBeforeStop(Stop, work, Far, Signal + Millis(2800)));
  CHECK_FALSE(endsBeforeStop(Stop, work, Far, Signal + Millis(4200)));
  CHECK_FALSE(endsBeforeStop(Stop, Millis(7000), Far, Signal));
}

// Guards against refusing a request whose deadline passes before it is cut off.
TEST(PlannedStop, RequestWithEarlyDeadlineIsRefused) {
  MonoTime now = Signal + Millis(2500);
  CHECK_TRUE(endsBeforeStop(Stop, Seconds(3), now + Millis(2000), now));
  CHECK_FALSE(endsBeforeStop(Stop, Seconds(3), now + Millis(4000), now));
}

// Guards against sending a request late in the grace period, which is then cut
// off without a response, and against a refusal after which the caller waits
// although other VMs can serve it.
TEST(PlannedStop, LateRequestIsSentToATarget) {
  StopFixture fixture;
  CHECK_TRUE(fixture.choose(Millis(100)).Target != nullptr);
  CHECK_TRUE(fixture.choose(Millis(2500)).Target != nullptr);
  PlacementChoice late = fixture.choose(Millis(4200));
  POINTERS_EQUAL(nullptr, late.Target);
  STRCMP_EQUAL("stopping", late.Reason);
  CHECK_TRUE(late.RetryAfter > Duration::zero());
  CHECK_TRUE(late.RetryAfter <= Millis(100));
  CHECK_TRUE(fixture.choose(Millis(4200), Millis(1300)).Target != nullptr);
  fixture.State.Stop.reset();
  CHECK_TRUE(fixture.choose(Millis(4200)).Target != nullptr);
}
