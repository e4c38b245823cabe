#include "savorylb/fair_queue.h"
#include "savorylb/slot_table.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace savorylb;

namespace {

constexpr int Targets = 16;
constexpr int SlotsEach = 4;
constexpr int Slots = Targets * SlotsEach;
constexpr Duration MeanTime = Millis(20);
constexpr Duration Length = Seconds(30);
/// Index of the team that sends five times its share.
constexpr int HeavyTeam = 3;

struct Event {
  MonoTime At;
  int Team = -1;
  /// Grant of the request that ends; empty for an arrival.
  SlotGrant Grant;
  MonoTime Since;
  bool operator>(const Event &other) const { return At > other.At; }
};

/// Simulates eight teams in virtual time. Seven send exactly their share and
/// one sends five times its share, in total 1.5 times the capacity with equal
/// weights.
struct Overload {
  std::mt19937_64 Random;
  SlotTable Table;
  FairQueue Queue;
  std::vector<int> Weights;
  std::vector<long> Sent;
  std::vector<long> Served;
  std::vector<double> NextArrival;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  MonoTime Now{};
  std::map<TargetId, int> Busy;
  int BusyTotal = 0;
  int MostOnTarget = 0;
  double BusyTime = 0;

  Overload(std::uint64_t seed, std::vector<int> weights)
      : Random(seed), Weights(std::move(weights)) {
    for (int i = 0; i < Targets; ++i) {
      TargetSpec spec;
      spec.Name = TargetId("tiles-" + std::to_string(i));
      spec.Slots = SlotsEach;
      adoptTarget(Table, spec, false, Now);
    }
    Sent.resize(Weights.size());
    Served.resize(Weights.size());
    NextArrival.resize(Weights.size());
    for (std::size_t team = 0; team < Weights.size(); ++team)
      scheduleArrival(static_cast<int>(team));
  }

  /// \returns the requests a second that are the team's share of the capacity.
  double fairRate(int team) const {
    int sum = 0;
    for (int weight : Weights)
      sum += weight;
    return 1e6 * Slots / static_cast<double>(MeanTime.count()) *
           Weights[static_cast<std::size_t>(team)] / sum;
  }

  /// Schedules one arrival per period, at a random time within it.
  void scheduleArrival(int team) {
    double period = 1e6 / fairRate(team) / (team == HeavyTeam ? 5 : 1);
    double &next = NextArrival[static_cast<std::size_t>(team)];
    double jitter = std::uniform_real_distribution<>(0, 1)(Random);
    Events.push(
        {MonoTime(Duration(static_cast<std::int64_t>(next + jitter * period))),
         team,
         {},
         {}});
    next += period;
  }

  bool start(int team) {
    auto grant =
        grantSlot(Table, VersionId(), TargetId(), Now + Seconds(1), Now);
    if (!grant)
      return false;
    MostOnTarget = std::max(MostOnTarget, ++Busy[grant->Target]);
    ++BusyTotal;
    Duration takes(std::uniform_int_distribution<std::int64_t>(
        MeanTime.count() / 2, MeanTime.count() * 3 / 2)(Random));
    Events.push({Now + takes, team, *grant, Now});
    return true;
  }

  void arrive(int team) {
    ++Sent[static_cast<std::size_t>(team)];
    TeamId name(std::to_string(team));
    int weight = Weights[static_cast<std::size_t>(team)];
    if (Queue.Waiting.empty() && start(team)) {
      recordUnqueuedRequest(Queue, name, weight);
      return;
    }
    QueuedRequest request;
    request.Team = name;
    request.Weight = weight;
    request.ExpiresAt = Now + Millis(180);
    enqueueRequest(Queue, request, usableSlots(Table, VersionId(), Now), Now);
  }

  void finish(const Event &event) {
    ++Served[static_cast<std::size_t>(event.Team)];
    --Busy[event.Grant.Target];
    --BusyTotal;
    releaseSlot(Table, event.Grant.Target, event.Grant.Number, SlotResult::Done,
                Now);
    observeServiceTime(Queue, Now - event.Since);
    expireRequests(Queue, Now);
    if (auto next = dequeueRequest(Queue, VersionId(), Now))
      CHECK(start(std::stoi(next->Team.Value)));
  }

  void run() {
    while (Events.top().At < MonoTime(Length)) {
      Event event = Events.top();
      Events.pop();
      BusyTime += static_cast<double>(BusyTotal * (event.At - Now).count());
      Now = event.At;
      if (!event.Grant.Target.empty()) {
        finish(event);
        continue;
      }
      scheduleArrival(event.Team);
      arrive(event.Team);
    }
  }
};

void checkOverload(std::uint64_t seed, std::vector<int> weights) {
  Overload sim(seed, std::move(weights));
  sim.run();
  double used = sim.BusyTime / (Slots * static_cast<double>(Length.count()));
  double lowestServed = 1;
  for (int team = 0; team < static_cast<int>(sim.Weights.size()); ++team)
    lowestServed =
        std::min(lowestServed, sim.Served[static_cast<std::size_t>(team)] /
                                   (sim.fairRate(team) * Length / Seconds(1)));
  CHECK_TEXT(used >= 0.95 && lowestServed >= 0.98 &&
                 sim.MostOnTarget <= SlotsEach,
             StringFromFormat("seed %lu: used %.4f, worst %.4f, most %d",
                              static_cast<unsigned long>(seed), used,
                              lowestServed, sim.MostOnTarget)
                 .asCharString());
}

} // namespace

TEST_GROUP(Overload){};

// Guards against idle slots, overloaded targets and teams that lose more than
// 2% of their share to one that sends five times its share.
TEST(Overload, KeepsSlotsBusyAndTeamsIsolated) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    checkOverload(seed, {1, 1, 1, 1, 1, 1, 1, 1});
}

// Guards against the same faults with unequal weights.
TEST(Overload, KeepsTeamsIsolatedByWeight) {
  for (std::uint64_t seed = 6; seed <= 10; ++seed)
    checkOverload(seed, {1, 2, 4, 3, 1, 2, 1, 5});
}
