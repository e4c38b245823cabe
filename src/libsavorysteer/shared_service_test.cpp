#include "steering_state.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <queue>
#include <random>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
constexpr Duration Play = Seconds(40);
constexpr int Targets = 6;
constexpr int Slots = 6;
const ServiceId Archive("archive");
const TeamId Team("readers");

/// Requests of one route: the time for which they hold a slot and their rate.
struct PlayedRoute {
  const char *Path;
  Millis Work;
  Millis LatencyTarget;
  int Priority;
  double PerSecond;
  int Arrived = 0;
  int InTime = 0;

  double fractionInTime() const {
    return InTime / std::max(1.0, static_cast<double>(Arrived));
  }
};

constexpr Millis ShortWork(160);
constexpr Millis LongWork(770);

PlayedRoute shortRoute(double perSecond) {
  return {"/downloads/", ShortWork, Millis(400), 1, perSecond};
}

PlayedRoute longRoute(double perSecond) {
  return {"/reports/", LongWork, Millis(3000), 2, perSecond};
}

/// Rate of long requests that fills the slots.
double longCapacity() {
  return Targets * Slots * 1000.0 / static_cast<double>(LongWork.count());
}

/// Plays routes of one service on one VM. The team's priority takes precedence
/// over that of the routes.
class SharedService {
public:
  explicit SharedService(std::vector<PlayedRoute> &routes) : Routes(routes) {
    State.Bounds.OverloadControl = true;
    State.Bounds.SharedLoads = true;
    SteerConfig config;
    config.Version = 1;
    config.Teams[Team].Priority = 1;
    config.Keys["key-1"] = Team;
    for (const PlayedRoute &it : Routes) {
      RouteRule route;
      route.Id = RouteId(it.Path);
      route.Host = "archive.example";
      route.PathPrefix = it.Path;
      route.Timeout = 4 * it.LatencyTarget;
      route.LatencyTarget = it.LatencyTarget;
      route.Priority = it.Priority;
      route.Splits = {{Archive, 1}};
      config.Routes.push_back(route);
    }
    config.Services[Archive] = {};
    applyConfig(State, config);
    for (int i = 0; i < Targets; ++i) {
      TargetEntry entry;
      entry.Id = TargetId("i-" + std::to_string(i));
      entry.Service = Archive;
      entry.Version = VersionId("v1");
      entry.Slots = Slots;
      updateTarget(State, entry, Start - Seconds(60));
      SlotFree[entry.Id].assign(Slots, Start);
    }
  }

  void play() {
    std::mt19937_64 random(7);
    for (PlayedRoute &route : Routes) {
      std::exponential_distribution<double> gap(route.PerSecond / 1e6);
      for (auto now = Start; now < Start + Play;
           now += Duration(static_cast<Duration::rep>(gap(random))))
        Events.push({now, [this, now, &route] { arrive(route, now); }});
    }
    while (!Events.empty()) {
      Event next = Events.top();
      Events.pop();
      next.Run();
    }
  }

private:
  struct Event {
    MonoTime At;
    std::function<void()> Run;
    bool operator<(const Event &other) const { return At > other.At; }
  };

  void arrive(PlayedRoute &route, MonoTime now) {
    ++route.Arrived;
    SteeredRequest request;
    request.ArrivedAt = now;
    request.Deadline = now + 4 * route.LatencyTarget;
    LONGS_EQUAL(0, admitRequest(State, request, "archive.example", route.Path,
                                "key-1", now)
                       .Status);
    place(route, request, now);
  }

  void place(PlayedRoute &route, SteeredRequest request, MonoTime now) {
    PlacementChoice choice = chooseTarget(State, request, now);
    if (choice.Defer > Duration::zero()) {
      Events.push({now + choice.Defer, [this, &route, request, choice, now] {
                     place(route, request, now + choice.Defer);
                   }});
      return;
    }
    if (!choice.Target)
      return;
    recordSend(State, request, *choice.Target, now);
    auto &slots = SlotFree[choice.Target->Entry.Id];
    auto slot = std::min_element(slots.begin(), slots.end());
    *slot = std::max(*slot, now) + route.Work;
    MonoTime end = *slot;
    SendOutcome outcome;
    outcome.Status = 200;
    outcome.SentAt = now;
    outcome.Took = end - now;
    outcome.ExpectedMs = choice.ExpectedMs;
    outcome.ExpectedUncachedMs = choice.ExpectedUncachedMs;
    outcome.LoadsShared = true;
    TargetId target = choice.Target->Entry.Id;
    Events.push({end, [this, &route, request, target, outcome, end]() mutable {
                   outcome.Load = loadOf(target);
                   recordOutcome(State, request, target, outcome, end);
                   route.InTime +=
                       end - request.ArrivedAt <= Duration(route.LatencyTarget);
                 }});
  }

  /// \returns the load that a target reports with a response.
  TargetLoad loadOf(const TargetId &target) {
    auto requests =
        static_cast<int>(State.Targets.at(target).InFlight.size()) - 1;
    return {std::min(requests, Slots), std::max(0, requests - Slots), Slots, 0};
  }

  std::vector<PlayedRoute> &Routes;
  SteeringState State;
  std::map<TargetId, std::vector<MonoTime>> SlotFree;
  std::priority_queue<Event> Events;
};

void play(std::vector<PlayedRoute> &routes) { SharedService(routes).play(); }

} // namespace

TEST_GROUP(SharedService){};

// Guards against long requests that can wait and fill the queues in which
// urgent requests of the same team become late or are refused.
TEST(SharedService, LongRequestsFillQueuesOfUrgentOnes) {
  std::vector<PlayedRoute> routes = {shortRoute(30),
                                     longRoute(2 * longCapacity())};
  play(routes);
  CHECK_TRUE(routes[0].fractionInTime() >= routes[1].fractionInTime());
  // No slot is needed by the urgent requests for longer than a sixth of the
  // time, so nearly all of them can be in time.
  CHECK_TRUE(routes[0].fractionInTime() >= 0.8);
}

// Guards against serving fewer of the long requests in time when more arrive.
TEST(SharedService, OverloadLowersTheLongRequestsInTime) {
  std::vector<PlayedRoute> full = {shortRoute(30), longRoute(longCapacity())};
  play(full);
  std::vector<PlayedRoute> twice = {shortRoute(30),
                                    longRoute(2 * longCapacity())};
  play(twice);
  CHECK_TRUE(twice[1].InTime >= full[1].InTime * 95 / 100);
}

// Guards against refusing long requests where no urgent ones need the slots.
TEST(SharedService, LongRequestsAreRefusedForNobody) {
  std::vector<PlayedRoute> routes = {longRoute(0.8 * longCapacity())};
  play(routes);
  CHECK_TRUE(routes[0].fractionInTime() >= 0.95);
}
