#include "request_proxy.h"

#include "platform_target.h"
#include "savorylb/clock.h"

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

namespace {

const ServiceId Tiles("tiles");
constexpr const char *TargetId1 = "i-1";
constexpr const char *TargetId2 = "i-2";

/// Each test uses its own addresses; closed ones cannot be bound again at once.
int NextHost = 1;

/// A request proxy with two targets and no store.
struct ProxyFixture {
  asio::io_context Io;
  SteeringState State;
  TargetPool Pool{Io, 1 << 20, std::make_shared<ByteBudget>(1 << 20)};
  PlatformStore Store{Io};
  PlatformTarget First{Io, Store, TargetId1, "tiles", "tema-a", "v1"};
  PlatformTarget Second{Io, Store, TargetId2, "tiles", "tema-a", "v1"};
  std::vector<std::shared_ptr<ServedRequest>> Requests;
  std::vector<HttpMessage> Responses;
  std::size_t Started = 0;

  ProxyFixture() {
    State.Zones = {{ZoneId("tema-a"), RegionId("tema")}};
    State.Fleet.Self.Zone = ZoneId("tema-a");
    State.Fleet.Self.Region = RegionId("tema");
    SteerConfig config;
    config.Version = 1;
    RouteRule route;
    route.Host = "maps.example";
    route.PathPrefix = "/";
    route.Timeout = Millis(2000);
    route.LatencyTarget = Millis(250);
    route.MaxTargets = 1;
    route.Splits = {{Tiles, 1}};
    config.Routes = {route};
    applyConfig(State, config);
    addTarget(First, TargetId1);
  }

  void addTarget(PlatformTarget &target, const char *id) {
    TargetEntry entry;
    entry.Id = TargetId(id);
    entry.Address = "127.0.200." + std::to_string(NextHost++) + ":8610";
    entry.Zone = ZoneId("tema-a");
    entry.Service = Tiles;
    entry.Version = VersionId("v1");
    entry.Slots = 4;
    entry.StartId = 7;
    CHECK_TRUE(target.listen(entry.Address));
    updateTarget(State, entry, monoNow());
  }

  TargetState &state(const char *id) { return State.Targets[TargetId(id)]; }

  /// Starts a request; its connection to the target is then being opened.
  void startRequest() {
    auto request = std::make_shared<ServedRequest>();
    request->Message.Method = "GET";
    request->Message.Path = "/1";
    request->Message.Fields = {{"Host", "maps.example"},
                               {"Savorylb-Attempt-Id", "a-1"}};
    request->ArrivedAt = monoNow();
    request->Respond = [this](HttpMessage response) {
      Responses.push_back(std::move(response));
    };
    Requests.push_back(request);
    ++Started;
    std::make_shared<RequestProxy>(Io, State, Pool, request)->start();
  }

  /// Runs the I/O context until all requests have their responses.
  void finishRequests() {
    MonoTime end = monoNow() + Seconds(3);
    while (Responses.size() < Started && monoNow() < end) {
      Io.run_for(std::chrono::milliseconds(5));
      Io.restart();
    }
    LONGS_EQUAL(Started, Responses.size());
  }
};

} // namespace

TEST_GROUP(RequestProxy){};

// Guards against transmitting a request after its target announced its
// departure while the connection was being opened.
TEST(RequestProxy, TargetThatLeavesDuringConnectGetsNothing) {
  ProxyFixture fixture;
  fixture.startRequest();
  fixture.state(TargetId1).Notices.Leaving = true;
  fixture.finishRequests();
  LONGS_EQUAL(503, fixture.Responses.at(0).Status);
  CHECK_TRUE(findField(fixture.Responses.at(0), "Retry-After") != nullptr);
  LONGS_EQUAL(0, fixture.First.Received);
  CHECK_TRUE(fixture.state(TargetId1).InFlight.empty());
}

// Guards against failing a request whose target began to drain while the
// connection was being opened, and against counting it as a retry: the route
// allows one target.
TEST(RequestProxy, RequestIsPlacedAgainWhenItsTargetDrainsDuringConnect) {
  ProxyFixture fixture;
  fixture.startRequest();
  fixture.state(TargetId1).Entry.Draining = true;
  fixture.addTarget(fixture.Second, TargetId2);
  fixture.finishRequests();
  LONGS_EQUAL(200, fixture.Responses.at(0).Status);
  LONGS_EQUAL(0, fixture.First.Received);
  LONGS_EQUAL(1, fixture.Second.Received);
}

// Guards against transmitting a request after its target asked for a pause
// while the connection was being opened, and against counting that as a retry.
TEST(RequestProxy, TargetThatPausesDuringConnectGetsNothing) {
  ProxyFixture fixture;
  fixture.startRequest();
  pauseTarget(fixture.State, startOf(fixture.state(TargetId1).Entry),
              Millis(700), monoNow());
  fixture.finishRequests();
  LONGS_EQUAL(503, fixture.Responses.at(0).Status);
  DOUBLES_EQUAL(
      0.75, std::stod(*findField(fixture.Responses.at(0), "Retry-After")), 0.1);
  fixture.startRequest();
  fixture.addTarget(fixture.Second, TargetId2);
  fixture.startRequest();
  fixture.finishRequests();
  LONGS_EQUAL(503, fixture.Responses.at(1).Status);
  LONGS_EQUAL(200, fixture.Responses.at(2).Status);
  LONGS_EQUAL(0, fixture.First.Received);
  CHECK_TRUE(fixture.state(TargetId1).InFlight.empty());
}

// Guards against requests that reach a target after the first of several
// concurrent requests was refused with a pause.
TEST(RequestProxy, OnlyRequestsInFlightReachAPausedTarget) {
  ProxyFixture fixture;
  fixture.First.Mode = TargetMode::Shed;
  fixture.First.RetryAfter = "0.8";
  for (int i = 0; i < 3; ++i)
    fixture.startRequest();
  fixture.finishRequests();
  int received = fixture.First.Received;
  CHECK_TRUE(received >= 1 && received <= 3);
  for (int i = 0; i < 10; ++i)
    fixture.startRequest();
  fixture.finishRequests();
  LONGS_EQUAL(received, fixture.First.Received);
}

// Guards against losing a request that no target has got at the end of a
// planned stop, and against transmitting it after it was refused.
TEST(RequestProxy, StopLeavesRequestThatDidNotRunUnanswered) {
  ProxyFixture fixture;
  fixture.startRequest();
  fixture.Requests.at(0)->OnBreakOff();
  LONGS_EQUAL(503, fixture.Responses.at(0).Status);
  CHECK_TRUE(findField(fixture.Responses.at(0), "Retry-After") != nullptr);
  fixture.Io.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(0, fixture.First.Received);
  CHECK_TRUE(fixture.state(TargetId1).InFlight.empty());
}

// Guards against a response that reports a request as not run though a target
// works on it at the end of a planned stop, and against counting that as a
// failure of the target.
TEST(RequestProxy, StopReportsRunningRequestAsNotRun) {
  ProxyFixture fixture;
  fixture.First.ServiceTime = Seconds(1);
  fixture.startRequest();
  fixture.Io.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(1, fixture.First.Received);
  fixture.Requests.at(0)->OnBreakOff();
  LONGS_EQUAL(504, fixture.Responses.at(0).Status);
  CHECK_TRUE(findField(fixture.Responses.at(0), "Retry-After") == nullptr);
  fixture.Io.restart();
  fixture.Io.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(1, fixture.First.Cancelled);
  DOUBLES_EQUAL(0, fixture.state(TargetId1).FailureRate, 0.001);
  CHECK_TRUE(fixture.state(TargetId1).InFlight.empty());
  LONGS_EQUAL(1, fixture.Responses.size());
}

// Guards against a pause that counts as a failure besides the refusal.
TEST(RequestProxy, RefusalWithAPauseCountsAsOneRefusal) {
  ProxyFixture fixture;
  fixture.First.Mode = TargetMode::Shed;
  fixture.First.RetryAfter = "0.8";
  fixture.startRequest();
  fixture.finishRequests();
  DOUBLES_EQUAL(ResultWeight, fixture.state(TargetId1).FailureRate, 0.01);
  CHECK_FALSE(fixture.state(TargetId1).Suspended);
}
