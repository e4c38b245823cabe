// Buckets, token transfers and moves of shares against the team's limits.

#include "admission_check.h"
#include "drivers.h"
#include "fleet.h"

#include "savorylb/lender_choice.h"
#include "savorylb/token_bucket.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace savorylb::replay {
namespace {

// Limits of the daemon's team_shards.cpp.
constexpr Duration LongestWait = Millis(150);
constexpr Duration BorrowPause = Millis(20);
constexpr Duration PublishInterval = Seconds(1);
/// Callers of a paused VM take this long to go elsewhere.
constexpr Duration CallerPatience = Millis(300);
constexpr Duration HotInterval = Seconds(5);

struct TeamLoad {
  TeamId Name;
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
  /// Demand, requests a second, and the part that one VM gets.
  double Demand = 0;
  double HotPart = 0;
  Duration On{};
  Duration Off{};
  long Sent = 0;
  AdmissionCheck Check;
};

/// One team on one VM.
struct TeamOnVm {
  TokenBucket Bucket;
  LenderLevel Published;
  LenderLevels Stated;
  bool Borrowing = false;
  Duration PausedUntil{};
  /// Requests that wait for a borrow, by time of arrival.
  std::deque<Duration> Waiting;
  /// Grants to report to each lender, with the lender's incarnation.
  std::map<VmId, std::pair<Incarnation, std::vector<std::uint64_t>>> Settled;
};

struct Rates {
  Fleet Vms;
  std::vector<TeamLoad> Teams;
  std::map<VmId, std::vector<TeamOnVm>> OnVm;
  double LostGrants = 0;
  /// Chance that a grant takes up to a second to arrive.
  double LateGrants = 0;
  Duration MeasureFrom{};
};

using Lenders = std::vector<VmId>;

TeamOnVm &at(Rates &rates, const ReplayVm &vm, std::size_t team) {
  return rates.OnVm[vm.Name][team];
}

void applyShare(Rates &rates, ReplayVm &vm) {
  Ppm share = usableRate(vm.Pending, vm.Doc, vm.Name, vm.life());
  for (std::size_t n = 0; n < rates.Teams.size(); ++n)
    setShare(at(rates, vm, n).Bucket, rates.Teams[n].Rate, rates.Teams[n].Burst,
             share, clockOf(rates.Vms, vm));
}

bool takeOwn(Rates &rates, ReplayVm &vm, std::size_t team) {
  return mayUseOwned(rates.Vms, vm) &&
         takeToken(at(rates, vm, team).Bucket, clockOf(rates.Vms, vm));
}

void settle(Rates &rates, ReplayVm &vm, std::size_t team, Duration since,
            bool admitted) {
  Fleet &fleet = rates.Vms;
  fleet.Log.note(fleet.Time.Now, vm.Name.Value + " " +
                                     rates.Teams[team].Name.Value +
                                     (admitted ? " admitted" : " refused"));
  noteDecision(rates.Teams[team].Check, since, fleet.Time.Now, admitted);
}

Lenders findLenders(Rates &rates, const ReplayVm &vm, std::size_t team) {
  std::vector<LenderCandidate> candidates;
  for (const ReplayVm &it : rates.Vms.Vms)
    if (it.Name != vm.Name && rates.Vms.Time.Now - it.LastHeard <= Seconds(3))
      candidates.push_back(
          {it.Name, at(rates, it, team).Published, it.Region == vm.Region});
  return chooseLenders(candidates, at(rates, vm, team).Stated);
}

void borrow(Rates &rates, ReplayVm &vm, std::size_t team, Lenders lenders);

void serveWaiting(Rates &rates, ReplayVm &vm, std::size_t team, bool more) {
  TeamOnVm &it = at(rates, vm, team);
  it.Borrowing = false;
  while (!it.Waiting.empty()) {
    bool late = rates.Vms.Time.Now - it.Waiting.front() > LongestWait;
    bool admitted = !late && takeOwn(rates, vm, team);
    if (!admitted && !late && more)
      break;
    settle(rates, vm, team, it.Waiting.front(), admitted);
    it.Waiting.pop_front();
  }
  if (!it.Waiting.empty())
    borrow(rates, vm, team, findLenders(rates, vm, team));
}

void receiveGrant(Rates &rates, ReplayVm &vm, std::size_t team,
                  const VmId &lender, const Incarnation &life,
                  MicroTokens amount, std::uint64_t number, MonoTime asked) {
  TeamOnVm &it = at(rates, vm, team);
  if (!mayUseOwned(rates.Vms, vm))
    return;
  depositTokens(it.Bucket, amount, asked, clockOf(rates.Vms, vm));
  if (it.Bucket.Borrowed != MicroTokens(0))
    return;
  auto &settled = it.Settled[lender];
  if (settled.first != life)
    settled = {life, {}};
  settled.second.push_back(number);
}

void lend(Rates &rates, ReplayVm &peer, std::size_t team, MicroTokens wanted,
          const std::pair<Incarnation, std::vector<std::uint64_t>> &settled,
          MicroTokens &lent) {
  if (!mayUseOwned(rates.Vms, peer))
    return;
  TokenBucket &bucket = at(rates, peer, team).Bucket;
  MonoTime now = clockOf(rates.Vms, peer);
  if (settled.first == peer.life())
    for (std::uint64_t number : settled.second)
      releaseHold(bucket, number, now);
  lent = lendTokens(bucket, wanted, now);
}

void askNext(Rates &rates, ReplayVm &vm, std::size_t team, Lenders lenders,
             int lives) {
  if (!vm.Up || vm.Lives != lives)
    return;
  TeamOnVm &it = at(rates, vm, team);
  bool late = !it.Waiting.empty() &&
              rates.Vms.Time.Now - it.Waiting.front() >= LongestWait;
  if (late || lenders.empty()) {
    it.PausedUntil = rates.Vms.Time.Now + BorrowPause;
    return serveWaiting(rates, vm, team, false);
  }
  borrow(rates, vm, team, std::move(lenders));
}

/// Asks the first lender; after a time-out or without tokens the next one.
void borrow(Rates &rates, ReplayVm &vm, std::size_t team, Lenders lenders) {
  Fleet &fleet = rates.Vms;
  TeamOnVm &it = at(rates, vm, team);
  it.Borrowing = true;
  if (lenders.empty())
    return askNext(rates, vm, team, lenders, vm.Lives);
  ReplayVm &peer = vmOf(fleet, lenders.front());
  lenders.erase(lenders.begin());
  MicroTokens wanted(
      std::max(OneToken.Value, it.Bucket.ForecastPerSecond / 10));
  auto settled = std::move(it.Settled[peer.Name]);
  it.Settled.erase(peer.Name);
  MonoTime asked = clockOf(fleet, vm);
  auto answered = std::make_shared<bool>(false);
  int lives = vm.Lives;
  sendMessage(fleet, vm, peer, [=, &rates, &fleet, &vm, &peer] {
    MicroTokens lent;
    lend(rates, peer, team, wanted, settled, lent);
    std::uint64_t number = at(rates, peer, team).Bucket.LastGrant;
    MicroTokens left = at(rates, peer, team).Bucket.Level;
    fleet.Log.note(fleet.Time.Now, peer.Name.Value + " lends " +
                                       std::to_string(lent.Value) + " to " +
                                       vm.Name.Value);
    if (fleet.Rand.chance(rates.LostGrants) || vm.Lives != lives)
      return;
    Duration late(
        fleet.Rand.chance(rates.LateGrants) ? fleet.Rand.below(1'000'000) : 0);
    MonoTime stated(fleet.Time.Now);
    auto receive = [=, &rates, &vm, life = peer.life(), lender = peer.Name] {
      at(rates, vm, team).Stated[lender] = {left, stated};
      if (lent > MicroTokens(0))
        receiveGrant(rates, vm, team, lender, life, lent, number, asked);
      if (*answered)
        return;
      *answered = true;
      if (lent > MicroTokens(0))
        serveWaiting(rates, vm, team, true);
      else
        askNext(rates, vm, team, lenders, lives);
    };
    fleet.Time.after(late, [=, &fleet, &peer, &vm] {
      sendMessage(fleet, peer, vm, receive);
    });
  });
  fleet.Time.after(LongestWait, [=, &rates, &fleet, &vm] {
    runInVm(fleet, vm, lives, [=, &rates, &vm] {
      if (*answered)
        return;
      *answered = true;
      askNext(rates, vm, team, lenders, lives);
    });
  });
}

void arrive(Rates &rates, ReplayVm &vm, std::size_t team, Duration since) {
  if (takeOwn(rates, vm, team))
    return settle(rates, vm, team, since, true);
  TeamOnVm &it = at(rates, vm, team);
  if (!it.Borrowing && rates.Vms.Time.Now < it.PausedUntil)
    return settle(rates, vm, team, since, false);
  it.Waiting.push_back(since);
  if (!it.Borrowing)
    borrow(rates, vm, team, findLenders(rates, vm, team));
}

/// Callers go to one VM more than to others; from one that is down, or that
/// has not answered for a while, to any other.
ReplayVm &chooseVm(Rates &rates, const TeamLoad &team) {
  Fleet &fleet = rates.Vms;
  auto count = static_cast<std::int64_t>(fleet.Vms.size());
  std::int64_t n = fleet.Rand.chance(team.HotPart)
                       ? fleet.Time.Now / HotInterval % count
                       : fleet.Rand.below(count);
  while (true) {
    ReplayVm &vm = fleet.Vms[static_cast<std::size_t>(n)];
    if (vm.Up && (isRunning(fleet, vm) ||
                  fleet.Time.Now <= vm.PausedFrom + CallerPatience))
      return vm;
    n = fleet.Rand.below(count);
  }
}

/// One arrival in each period, at a random place in it.
void scheduleArrival(Rates &rates, std::size_t team) {
  Fleet &fleet = rates.Vms;
  TeamLoad &load = rates.Teams[team];
  double at =
      (static_cast<double>(load.Sent++) + fleet.Rand.unit()) / load.Demand;
  // Demand may come in pulses, so that buckets fill in between.
  Duration active(static_cast<std::int64_t>(at * 1e6));
  Duration since = rates.MeasureFrom + active + active / load.On * load.Off;
  fleet.Time.at(since, [=, &rates] {
    Fleet &it = rates.Vms;
    noteArrival(rates.Teams[team].Check, since, since >= rates.MeasureFrom);
    ReplayVm &vm = chooseVm(rates, rates.Teams[team]);
    runInVm(it, vm, vm.Lives,
            [=, &rates, &vm] { arrive(rates, vm, team, since); });
    scheduleArrival(rates, team);
  });
}

void publishLevels(Rates &rates) {
  for (ReplayVm &vm : rates.Vms.Vms)
    for (std::size_t n = 0; isRunning(rates.Vms, vm) && n < rates.Teams.size();
         ++n) {
      TeamOnVm &it = at(rates, vm, n);
      refillBucket(it.Bucket, clockOf(rates.Vms, vm));
      it.Published = {it.Bucket.Level, MonoTime(rates.Vms.Time.Now)};
    }
}

void readTeams(Rates &rates, const Trace &trace) {
  for (const Json::Value &it : trace.Parameters["teams"]) {
    TeamLoad team;
    team.Name = TeamId(it["name"].asString());
    team.Rate = it["rate"].asInt64();
    team.Burst = it["burst"].asInt64();
    team.Demand = it["load"].asDouble() * static_cast<double>(team.Rate);
    team.HotPart = it.get("hot", 0.0).asDouble();
    team.On = millisOf(it, "on_ms", 1000);
    team.Off = millisOf(it, "off_ms");
    team.Check = AdmissionCheck(team.Rate, team.Burst);
    rates.Teams.push_back(team);
  }
}

Figures measure(const Rates &rates) {
  Figures figures;
  double due = 0;
  double wrongful = 0;
  double worst = 1;
  for (const TeamLoad &it : rates.Teams) {
    figures["over_limit"] += static_cast<double>(it.Check.OverLimit);
    figures["admitted"] += static_cast<double>(it.Check.Admitted);
    // What the limits allow is due; a team above its rate has no claim to
    // certain requests but to its rate.
    if (it.Demand <= static_cast<double>(it.Rate)) {
      due += static_cast<double>(it.Check.Due);
      wrongful += static_cast<double>(it.Check.Wrongful);
    }
    worst = std::min(worst, static_cast<double>(it.Check.Admitted) /
                                static_cast<double>(it.Check.Due));
  }
  figures["wrongful_refusals_pct"] = due == 0 ? 0 : 100 * wrongful / due;
  figures["worst_served_pct"] = 100 * worst;
  return figures;
}

} // namespace

Figures replayRates(const Trace &trace, DecisionLog &log) {
  Rates rates{Fleet(trace, log), {}, {}, 0, 0, {}};
  readTeams(rates, trace);
  rates.LostGrants = trace.Parameters.get("lost_grants", 0.0).asDouble();
  rates.LateGrants = trace.Parameters.get("late_grants", 0.0).asDouble();
  rates.MeasureFrom = millisOf(trace.Parameters, "measure_from_ms", 15'000);
  rates.Vms.Started = [&](ReplayVm &vm) {
    rates.OnVm[vm.Name] = std::vector<TeamOnVm>(rates.Teams.size());
    for (TeamOnVm &it : rates.OnVm[vm.Name])
      it.Bucket.Updated = clockOf(rates.Vms, vm);
  };
  rates.Vms.Changed = [&](ReplayVm &vm, const ZoneDocument &) {
    applyShare(rates, vm);
  };
  startFleet(rates.Vms, trace);
  rates.Vms.Time.every(PublishInterval, PublishInterval,
                       [&] { publishLevels(rates); });
  // Arrivals begin once the shares have settled and the buckets are full.
  rates.Vms.Time.at(rates.MeasureFrom, [&] {
    for (std::size_t n = 0; n < rates.Teams.size(); ++n)
      scheduleArrival(rates, n);
  });
  rates.Vms.Time.runUntil(trace.Length);
  return measure(rates);
}

} // namespace savorylb::replay
