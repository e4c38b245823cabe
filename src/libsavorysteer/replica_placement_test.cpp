#include "placement_policy.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <queue>
#include <random>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
constexpr int Targets = 12;
constexpr int Slots = 4;
constexpr int Objects = 40;
constexpr int CachedObjects = 16;
constexpr double CachedMs = 160;
constexpr double UncachedMs = 540;
constexpr Millis LatencyTarget(400);

/// A target that processes requests in order and keeps its last objects.
struct PlayedTarget {
  std::vector<double> SlotFree = std::vector<double>(Slots, 0.0);
  std::deque<std::string> Cache;

  /// \returns when the request is done, in ms.
  double handle(const std::string &object, double now) {
    auto it = std::find(Cache.begin(), Cache.end(), object);
    double work = it != Cache.end() ? CachedMs : UncachedMs;
    if (it != Cache.end())
      Cache.erase(it);
    Cache.push_front(object);
    if (Cache.size() > CachedObjects)
      Cache.pop_back();
    auto slot = std::min_element(SlotFree.begin(), SlotFree.end());
    *slot = std::max(*slot, now) + work;
    return *slot;
  }
};

/// Plays 60 s of requests of one VM that knows the loads of all targets.
/// \param popular fraction of the requests that are for one object.
/// \param replicas setting `object_replicas`; 1 for the policy without them.
/// \returns the fraction of the requests that are answered in time.
double fractionInTime(double popular, int replicas) {
  std::vector<TargetState> targets(Targets);
  std::vector<PlayedTarget> played(Targets);
  std::vector<PlacementCandidate> candidates;
  for (int i = 0; i < Targets; ++i) {
    TargetState &it = targets[static_cast<std::size_t>(i)];
    it.Entry.Id = TargetId("i-" + std::to_string(i));
    it.Entry.Slots = Slots;
    it.Entry.Zone = ZoneId(i % 2 ? "a" : "b");
    it.Region = RegionId("tema");
    candidates.push_back({&it, 1.0});
  }
  using End = std::pair<double, std::pair<std::size_t, MonoTime>>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::mt19937_64 random(7);
  std::exponential_distribution<double> gap(0.14);
  std::uniform_real_distribution<double> draw(0, 1);
  ObjectDemands demands;
  int sent = 0;
  int inTime = 0;
  for (double ms = 0; ms < 60'000; ms += gap(random)) {
    MonoTime now = Start + Duration(static_cast<Duration::rep>(ms * 1000));
    for (; !ends.empty() && ends.top().first <= ms; ends.pop()) {
      auto [target, sentAt] = ends.top().second;
      auto &inFlight = targets[target].InFlight;
      inFlight.erase(std::find(inFlight.begin(), inFlight.end(), sentAt));
    }
    PlacementRequest request;
    request.Object = draw(random) < popular
                         ? "popular"
                         : "o-" + std::to_string(random() % Objects);
    request.Zone = ZoneId("a");
    request.Region = RegionId("tema");
    request.LatencyTarget = LatencyTarget;
    request.Remaining = Seconds(2);
    request.CachedMs = CachedMs;
    request.UncachedMs = UncachedMs;
    request.Draw = random();
    if (replicas > 1) {
      request.Replicas = {replicas, CachedObjects};
      request.Demands = &demands;
      request.MaxLatencyFraction = 1.5;
      countObjectRequest(demands, request.Object, now);
    }
    PlacementChoice choice = placeRequest(request, candidates, now);
    sent += ms > 5000;
    if (!choice.Target)
      continue;
    auto target = static_cast<std::size_t>(choice.Target - targets.data());
    choice.Target->InFlight.push_back(now);
    recordObject(*choice.Target, request.Object, now);
    double end = played[target].handle(request.Object, ms);
    ends.push({end, {target, now}});
    inTime +=
        ms > 5000 && end - ms <= static_cast<double>(LatencyTarget.count());
  }
  return static_cast<double>(inTime) / sent;
}

} // namespace

TEST_GROUP(ReplicaPlacement){};

// Guards against a hot spot: requests for a popular object that wait at its
// target while others idle.
TEST(ReplicaPlacement, PopularObjectMakesRequestsLate) {
  double with = fractionInTime(0.4, 2);
  double without = fractionInTime(0.4, 1);
  CHECK_TRUE(with > 0.9);
  CHECK_TRUE(with > without);
}

// Guards against replicas that cost objects without a popular one their place
// in the caches.
TEST(ReplicaPlacement, ReplicasEvictOtherObjects) {
  CHECK_TRUE(fractionInTime(0, 2) > 0.9);
}
