// Token buckets, borrowing and changes of shares, checked against the teams'
// limits.

#include "admission_check.h"
#include "drivers.h"
#include "fleet_simulation.h"

#include "savorylb/lender_choice.h"
#include "savorylb/token_bucket.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace savorylb::replay {
namespace {

/// How long a request waits for borrowed tokens; the same as MaxBorrowTime in
/// request_flow.cpp of the daemon.
constexpr Duration MaxBorrowTime = Millis(150);
/// How long requests are refused without asking again after no peer lent any
/// tokens; the same as BorrowPause in team_shards.cpp of the daemon.
constexpr Duration BorrowPause = Millis(20);
constexpr Duration PublishInterval = Seconds(1);
/// After this time without an answer, callers of a paused VM go to another one.
constexpr Duration CallerTimeout = Millis(300);
/// How long one VM receives the most requests before the next one does.
constexpr Duration HotVmInterval = Seconds(5);

struct TeamLoad {
  TeamId Name;
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
  /// Demand while active, in requests a second.
  double Demand = 0;
  /// Part of the demand that goes to the hot VM, from 0 to 1.
  double HotVmShare = 0;
  Duration ActiveTime{};
  Duration InactiveTime{};
  long Sent = 0;
  AdmissionCheck Check;
};

/// State of one team on one VM.
struct VmTeamState {
  TokenBucket Bucket;
  /// Level in the last heartbeat of this VM.
  LenderLevel Published;
  /// Levels in replies of lenders.
  LenderLevels ReportedLevels;
  bool Borrowing = false;
  Duration BorrowPausedUntil{};
  /// Arrival times of the requests that wait for borrowed tokens.
  std::deque<Duration> Waiting;
  /// Deposited grants to report to each lender, with the lender's incarnation.
  std::map<VmId, std::pair<Incarnation, std::vector<std::uint64_t>>>
      SettledGrants;
};

struct RateSimulation {
  FleetSimulation Fleet;
  std::vector<TeamLoad> Teams;
  std::map<VmId, std::vector<VmTeamState>> TeamStates;
  double LostGrantChance = 0;
  /// Probability that a grant is delayed by up to a second.
  double LateGrantChance = 0;
  Duration MeasureFrom{};
};

using Lenders = std::vector<VmId>;

VmTeamState &teamState(RateSimulation &sim, const SimulatedVm &vm,
                       std::size_t team) {
  return sim.TeamStates[vm.Name][team];
}

void applyShares(RateSimulation &sim, SimulatedVm &vm) {
  Ppm share = usableRateShare(vm.Pending, vm.Doc, vm.Name, vm.incarnation());
  for (std::size_t n = 0; n < sim.Teams.size(); ++n)
    setShare(teamState(sim, vm, n).Bucket, sim.Teams[n].Rate,
             sim.Teams[n].Burst, share, clockOf(sim.Fleet, vm));
}

bool takeOwnToken(RateSimulation &sim, SimulatedVm &vm, std::size_t team) {
  return mayUseOwned(sim.Fleet, vm) &&
         takeToken(teamState(sim, vm, team).Bucket, clockOf(sim.Fleet, vm));
}

void recordOutcome(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                   Duration arrivedAt, bool admitted) {
  FleetSimulation &fleet = sim.Fleet;
  fleet.Log.record(fleet.Clock.Now, vm.Name.Value + " " +
                                        sim.Teams[team].Name.Value +
                                        (admitted ? " admitted" : " refused"));
  recordDecision(sim.Teams[team].Check, arrivedAt, fleet.Clock.Now, admitted);
}

/// Chooses lenders among the other VMs whose last tick is at most
/// VmSilenceLimit (savorylb/vm_view.h), 3 s, ago.
Lenders findLenders(RateSimulation &sim, const SimulatedVm &vm,
                    std::size_t team) {
  std::vector<LenderCandidate> candidates;
  for (const SimulatedVm &it : sim.Fleet.Vms)
    if (it.Name != vm.Name && sim.Fleet.Clock.Now - it.LastTickAt <= Seconds(3))
      candidates.push_back({it.Name, teamState(sim, it, team).Published,
                            it.Region == vm.Region});
  return chooseLenders(candidates, teamState(sim, vm, team).ReportedLevels);
}

void borrowTokens(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                  Lenders lenders);

void serveWaiting(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                  bool mayBorrow) {
  VmTeamState &it = teamState(sim, vm, team);
  it.Borrowing = false;
  while (!it.Waiting.empty()) {
    bool late = sim.Fleet.Clock.Now - it.Waiting.front() > MaxBorrowTime;
    bool admitted = !late && takeOwnToken(sim, vm, team);
    if (!admitted && !late && mayBorrow)
      break;
    recordOutcome(sim, vm, team, it.Waiting.front(), admitted);
    it.Waiting.pop_front();
  }
  if (!it.Waiting.empty())
    borrowTokens(sim, vm, team, findLenders(sim, vm, team));
}

void receiveGrant(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                  const VmId &lender, const Incarnation &incarnation,
                  MicroTokens amount, std::uint64_t number, MonoTime askedAt) {
  VmTeamState &it = teamState(sim, vm, team);
  if (!mayUseOwned(sim.Fleet, vm))
    return;
  depositTokens(it.Bucket, amount, askedAt, clockOf(sim.Fleet, vm));
  if (it.Bucket.Borrowed != MicroTokens(0))
    return;
  auto &settled = it.SettledGrants[lender];
  if (settled.first != incarnation)
    settled = {incarnation, {}};
  settled.second.push_back(number);
}

void lend(RateSimulation &sim, SimulatedVm &peer, std::size_t team,
          MicroTokens wanted,
          const std::pair<Incarnation, std::vector<std::uint64_t>> &settled,
          MicroTokens &lent) {
  if (!mayUseOwned(sim.Fleet, peer))
    return;
  TokenBucket &bucket = teamState(sim, peer, team).Bucket;
  MonoTime now = clockOf(sim.Fleet, peer);
  if (settled.first == peer.incarnation())
    for (std::uint64_t number : settled.second)
      releaseHold(bucket, number, now);
  lent = lendTokens(bucket, wanted, now);
}

void askNextLender(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                   Lenders lenders, int startCount) {
  if (!vm.Up || vm.StartCount != startCount)
    return;
  VmTeamState &it = teamState(sim, vm, team);
  bool late = !it.Waiting.empty() &&
              sim.Fleet.Clock.Now - it.Waiting.front() >= MaxBorrowTime;
  if (late || lenders.empty()) {
    it.BorrowPausedUntil = sim.Fleet.Clock.Now + BorrowPause;
    return serveWaiting(sim, vm, team, false);
  }
  borrowTokens(sim, vm, team, std::move(lenders));
}

/// Asks the first lender for tokens, and the next one if it lends none or does
/// not respond in time.
void borrowTokens(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                  Lenders lenders) {
  FleetSimulation &fleet = sim.Fleet;
  VmTeamState &it = teamState(sim, vm, team);
  it.Borrowing = true;
  if (lenders.empty())
    return askNextLender(sim, vm, team, lenders, vm.StartCount);
  SimulatedVm &peer = vmOf(fleet, lenders.front());
  lenders.erase(lenders.begin());
  // As in the daemon, a batch for the next 100 ms of demand saves a call for
  // each request.
  MicroTokens wanted(
      std::max(OneToken.Value, it.Bucket.ForecastPerSecond / 10));
  auto settled = std::move(it.SettledGrants[peer.Name]);
  it.SettledGrants.erase(peer.Name);
  MonoTime askedAt = clockOf(fleet, vm);
  auto answered = std::make_shared<bool>(false);
  int startCount = vm.StartCount;
  sendMessage(fleet, vm, peer, [=, &sim, &fleet, &vm, &peer] {
    MicroTokens lent;
    lend(sim, peer, team, wanted, settled, lent);
    std::uint64_t number = teamState(sim, peer, team).Bucket.LastGrant;
    MicroTokens left = teamState(sim, peer, team).Bucket.Level;
    fleet.Log.record(fleet.Clock.Now, peer.Name.Value + " lends " +
                                          std::to_string(lent.Value) + " to " +
                                          vm.Name.Value);
    if (fleet.Rand.chance(sim.LostGrantChance) || vm.StartCount != startCount)
      return;
    Duration extraDelay(fleet.Rand.chance(sim.LateGrantChance)
                            ? fleet.Rand.below(1'000'000)
                            : 0);
    MonoTime reportedAt(fleet.Clock.Now);
    auto receive = [=, &sim, &vm, incarnation = peer.incarnation(),
                    lender = peer.Name] {
      teamState(sim, vm, team).ReportedLevels[lender] = {left, reportedAt};
      if (lent > MicroTokens(0))
        receiveGrant(sim, vm, team, lender, incarnation, lent, number, askedAt);
      if (*answered)
        return;
      *answered = true;
      if (lent > MicroTokens(0))
        serveWaiting(sim, vm, team, true);
      else
        askNextLender(sim, vm, team, lenders, startCount);
    };
    fleet.Clock.after(extraDelay, [=, &fleet, &peer, &vm] {
      sendMessage(fleet, peer, vm, receive);
    });
  });
  fleet.Clock.after(MaxBorrowTime, [=, &sim, &fleet, &vm] {
    runInVm(fleet, vm, startCount, [=, &sim, &vm] {
      if (*answered)
        return;
      *answered = true;
      askNextLender(sim, vm, team, lenders, startCount);
    });
  });
}

void handleArrival(RateSimulation &sim, SimulatedVm &vm, std::size_t team,
                   Duration arrivedAt) {
  if (takeOwnToken(sim, vm, team))
    return recordOutcome(sim, vm, team, arrivedAt, true);
  VmTeamState &it = teamState(sim, vm, team);
  if (!it.Borrowing && sim.Fleet.Clock.Now < it.BorrowPausedUntil)
    return recordOutcome(sim, vm, team, arrivedAt, false);
  it.Waiting.push_back(arrivedAt);
  if (!it.Borrowing)
    borrowTokens(sim, vm, team, findLenders(sim, vm, team));
}

/// Chooses the VM for a request: with probability HotVmShare the hot VM,
/// otherwise any. If that VM is down or has not responded for CallerTimeout, it
/// is replaced by a random one.
SimulatedVm &chooseVm(RateSimulation &sim, const TeamLoad &team) {
  FleetSimulation &fleet = sim.Fleet;
  auto count = static_cast<std::int64_t>(fleet.Vms.size());
  std::int64_t n = fleet.Rand.chance(team.HotVmShare)
                       ? fleet.Clock.Now / HotVmInterval % count
                       : fleet.Rand.below(count);
  while (true) {
    SimulatedVm &vm = fleet.Vms[static_cast<std::size_t>(n)];
    if (vm.Up && (isRunning(fleet, vm) ||
                  fleet.Clock.Now <= vm.PausedFrom + CallerTimeout))
      return vm;
    n = fleet.Rand.below(count);
  }
}

/// Schedules the next request: one per period of the demand, at a random time
/// within it.
void scheduleArrival(RateSimulation &sim, std::size_t team) {
  FleetSimulation &fleet = sim.Fleet;
  TeamLoad &load = sim.Teams[team];
  double seconds =
      (static_cast<double>(load.Sent++) + fleet.Rand.uniform()) / load.Demand;
  // The demand may be interrupted periodically, which lets the buckets fill.
  Duration active(static_cast<std::int64_t>(seconds * 1e6));
  Duration arrivedAt =
      sim.MeasureFrom + active + active / load.ActiveTime * load.InactiveTime;
  fleet.Clock.at(arrivedAt, [=, &sim] {
    FleetSimulation &it = sim.Fleet;
    recordArrival(sim.Teams[team].Check, arrivedAt,
                  arrivedAt >= sim.MeasureFrom);
    SimulatedVm &vm = chooseVm(sim, sim.Teams[team]);
    runInVm(it, vm, vm.StartCount,
            [=, &sim, &vm] { handleArrival(sim, vm, team, arrivedAt); });
    scheduleArrival(sim, team);
  });
}

void publishLevels(RateSimulation &sim) {
  for (SimulatedVm &vm : sim.Fleet.Vms)
    for (std::size_t n = 0; isRunning(sim.Fleet, vm) && n < sim.Teams.size();
         ++n) {
      VmTeamState &it = teamState(sim, vm, n);
      refillBucket(it.Bucket, clockOf(sim.Fleet, vm));
      it.Published = {it.Bucket.Level, MonoTime(sim.Fleet.Clock.Now)};
    }
}

void readTeams(RateSimulation &sim, const Trace &trace) {
  for (const Json::Value &it : trace.Parameters["teams"]) {
    TeamLoad team;
    team.Name = TeamId(it["name"].asString());
    team.Rate = it["rate"].asInt64();
    team.Burst = it["burst"].asInt64();
    team.Demand = it["load"].asDouble() * static_cast<double>(team.Rate);
    team.HotVmShare = it.get("hot", 0.0).asDouble();
    team.ActiveTime = millisOf(it, "on_ms", 1000);
    team.InactiveTime = millisOf(it, "off_ms");
    team.Check = AdmissionCheck(team.Rate, team.Burst);
    sim.Teams.push_back(team);
  }
}

Measurements measure(const RateSimulation &sim) {
  Measurements measured;
  double admissible = 0;
  double wrongful = 0;
  double worst = 1;
  for (const TeamLoad &it : sim.Teams) {
    measured["over_limit"] += static_cast<double>(it.Check.OverLimit);
    measured["admitted"] += static_cast<double>(it.Check.Admitted);
    // Individual refusals count only for teams within their rate: a team above
    // it is entitled to its rate, but not to particular requests.
    if (it.Demand <= static_cast<double>(it.Rate)) {
      admissible += static_cast<double>(it.Check.Admissible);
      wrongful += static_cast<double>(it.Check.WrongfulRefusals);
    }
    worst = std::min(worst, static_cast<double>(it.Check.Admitted) /
                                static_cast<double>(it.Check.Admissible));
  }
  measured["wrongful_refusals_pct"] =
      admissible == 0 ? 0 : 100 * wrongful / admissible;
  measured["worst_served_pct"] = 100 * worst;
  return measured;
}

} // namespace

Measurements replayRates(const Trace &trace, DecisionLog &log) {
  RateSimulation sim{FleetSimulation(trace, log), {}, {}, 0, 0, {}};
  readTeams(sim, trace);
  sim.LostGrantChance = trace.Parameters.get("lost_grants", 0.0).asDouble();
  sim.LateGrantChance = trace.Parameters.get("late_grants", 0.0).asDouble();
  sim.MeasureFrom = millisOf(trace.Parameters, "measure_from_ms", 15'000);
  sim.Fleet.OnVmStart = [&](SimulatedVm &vm) {
    sim.TeamStates[vm.Name] = std::vector<VmTeamState>(sim.Teams.size());
    for (VmTeamState &it : sim.TeamStates[vm.Name])
      it.Bucket.Updated = clockOf(sim.Fleet, vm);
  };
  sim.Fleet.OnOwnershipChange = [&](SimulatedVm &vm, const ZoneDocument &) {
    applyShares(sim, vm);
  };
  startFleet(sim.Fleet, trace);
  sim.Fleet.Clock.every(PublishInterval, PublishInterval,
                        [&] { publishLevels(sim); });
  // Arrivals start after the shares have settled and the buckets are full.
  sim.Fleet.Clock.at(sim.MeasureFrom, [&] {
    for (std::size_t n = 0; n < sim.Teams.size(); ++n)
      scheduleArrival(sim, n);
  });
  sim.Fleet.Clock.runUntil(trace.Length);
  return measure(sim);
}

} // namespace savorylb::replay
