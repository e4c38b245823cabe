#include "savorylb/pending_change.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <random>

using namespace savorylb;

namespace {

constexpr std::int64_t ZoneRateShare = 166'666;

/// A simulated VM with its own clock.
struct SimVm {
  VmId Name;
  int IncarnationNumber = 1;
  bool Running = true;
  /// The endpoint of the stopped process refuses connections, which proves that
  /// it is dead.
  bool RefusesConnections = false;
  bool Leaving = false;
  /// Simulated time in milliseconds.
  std::int64_t PausedUntil = 0;
  /// In microseconds.
  std::int64_t ClockOffset = 0;
  double ClockRate = 1;
  ZoneDocument Doc;
  Lease OwnLease;
  LeaseGrants Grants;
  PendingChange Pending;

  Incarnation incarnation() const {
    return Incarnation(Name.Value + std::to_string(IncarnationNumber));
  }
  MonoTime clock(std::int64_t ms) const {
    return MonoTime(Duration(
        ClockOffset +
        static_cast<std::int64_t>(static_cast<double>(ms) * 1000 * ClockRate)));
  }
};

/// Simulates a zone with faults of messages, of store accesses and of VMs.
struct Sim {
  std::mt19937_64 Random;
  LeaseTimes Times;
  ZoneDocument Store = makeZoneDocument(ZoneId("z"), Ppm(ZoneRateShare));
  std::vector<SimVm> Vms;
  std::multimap<std::int64_t, std::function<void()>> Events;
  std::set<TargetId> Targets;
  std::int64_t Now = 0;
  bool Faults = true;
  std::string Violation;

  Sim(std::uint64_t seed, int vms) : Random(seed) {
    for (int n = 0; n < 8; ++n)
      Targets.insert(TargetId("t" + std::to_string(n)));
    for (int n = 0; n < vms; ++n) {
      SimVm it;
      it.Name = VmId("vm" + std::to_string(n));
      it.ClockOffset = randomBelow(1'000'000'000'000) + 1;
      it.ClockRate =
          0.98 + 0.04 * static_cast<double>(randomBelow(1001)) / 1000;
      it.Doc = Store;
      it.Grants.GraceStartedAt = it.clock(0);
      Vms.push_back(it);
    }
  }
  std::int64_t randomBelow(std::int64_t n) {
    return static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(n));
  }
  bool chance(int perMille) { return Faults && randomBelow(1000) < perMille; }
  /// \returns a message delay in milliseconds, mostly short and sometimes
  /// longer than a lease.
  std::int64_t delay() {
    return chance(50) ? randomBelow(6000) : randomBelow(20);
  }
  void send(std::function<void()> what) {
    if (!chance(50))
      Events.emplace(Now + delay(), std::move(what));
  }
  /// Delivers a message to a process. A paused process handles it when it
  /// resumes, and a process that has ended never does.
  void sendTo(SimVm &to, int number, const std::function<void()> &what) {
    send([this, &to, number, what] { deliver(to, number, what); });
  }
  void deliver(SimVm &to, int number, const std::function<void()> &what) {
    if (!to.Running || to.IncarnationNumber != number)
      return;
    if (Now < to.PausedUntil)
      Events.emplace(to.PausedUntil,
                     [this, &to, number, what] { deliver(to, number, what); });
    else
      what();
  }
  SimVm &findVm(const VmId &vm) {
    return *std::find_if(Vms.begin(), Vms.end(),
                         [&](const SimVm &it) { return it.Name == vm; });
  }
  bool provedDead(const VmId &vm, const Incarnation &incarnation) {
    SimVm &it = findVm(vm);
    return it.Running ? it.incarnation() != incarnation : it.RefusesConnections;
  }
  /// Requests a lease from a VM and calls `granted` when the VM grants it.
  void requestLease(SimVm &from, const VmId &to, const Incarnation &incarnation,
                    const std::function<void(MonoTime)> &granted) {
    MonoTime sentAt = from.clock(Now);
    int number = from.IncarnationNumber;
    send([this, &from, to, incarnation, granted, sentAt, number] {
      SimVm &grantor = findVm(to);
      if (grantor.incarnation() != incarnation)
        return;
      deliver(grantor, grantor.IncarnationNumber,
              [this, &from, &grantor, granted, sentAt, number] {
                if (grantLease(
                        grantor.Grants, from.Name,
                        Incarnation(from.Name.Value + std::to_string(number)),
                        grantor.clock(Now), Times))
                  sendTo(from, number, [granted, sentAt] { granted(sentAt); });
              });
    });
  }
  void renew(SimVm &it) {
    Lease &own = it.OwnLease;
    if (!own.Successor.empty()) {
      VmId vm = own.Successor;
      Incarnation incarnation = own.SuccessorIncarnation;
      if (provedDead(vm, incarnation))
        markSuccessorDead(own, it.clock(Now));
      else
        requestLease(it, vm, incarnation,
                     [this, &own, vm, incarnation](MonoTime sentAt) {
                       if (own.Successor == vm &&
                           own.SuccessorIncarnation == incarnation)
                         renewLease(own, sentAt, Times);
                     });
    }
    for (auto &[key, candidate] : own.Candidates) {
      if (provedDead(key.first, key.second))
        markCandidateDead(own, key.first, key.second, it.clock(Now));
      requestLease(it, key.first, key.second,
                   [this, &own, key = key](MonoTime sentAt) {
                     renewCandidate(own, key.first, key.second, sentAt, Times);
                   });
    }
  }
  void write(SimVm &it, const OwnershipPlan &plan, Revision base) {
    beginChange(it.Pending, it.Grants, it.OwnLease, plan, it.Doc,
                it.clock(Now));
    // The response is not needed: the next read shows the result.
    send([this, plan, base] {
      if (Store.Rev == base)
        Store = plan.Next;
    });
  }
  void read(SimVm &it) {
    MonoTime askedAt = it.clock(Now);
    sendTo(it, it.IncarnationNumber, [this, &it, askedAt] {
      if (it.Doc.Rev < Store.Rev)
        it.Doc = Store;
      resolveChange(it.Pending, it.Grants, it.OwnLease, it.Doc, it.Name,
                    it.incarnation());
      recordStoreContact(it.OwnLease, askedAt);
    });
  }
  void decide(SimVm &it) {
    OwnershipView view;
    view.Self = it.Name;
    view.SelfIncarnation = it.incarnation();
    view.PeerEndpoint = it.Name.Value;
    view.Doc = it.Doc;
    view.ConfiguredTargets = Targets;
    view.Leaving = it.Leaving;
    for (const auto &[vm, member] : it.Doc.Members) {
      if (provedDead(vm, member.VmIncarnation) && !chance(300))
        view.ProvedDead.insert({vm, member.VmIncarnation});
      if (findVm(vm).Running && !chance(50))
        view.Alive.insert(vm);
      if (findVm(vm).Leaving)
        view.Departing.insert(vm);
    }
    auto plan = planOwnership(view, it.Grants, it.clock(Now), Times);
    if (plan.Step == OwnershipStep::None)
      return;
    if (plan.Step != OwnershipStep::NameSuccessor)
      return write(it, plan, it.Doc.Rev);
    Incarnation incarnation =
        plan.Next.Members.at(plan.AffectedVm).VmIncarnation;
    requestLease(it, plan.AffectedVm, incarnation,
                 [this, &it, plan, incarnation](MonoTime at) {
                   if (it.Doc.Rev + Revision(1) != plan.Next.Rev)
                     return;
                   write(it, plan, it.Doc.Rev);
                   renewCandidate(it.OwnLease, plan.AffectedVm, incarnation, at,
                                  Times);
                 });
  }
  void injectFault(SimVm &it) {
    if (!it.Running) {
      if (!Faults || chance(10))
        restart(it);
    } else if (chance(2)) {
      it.PausedUntil = Now + randomBelow(9000);
    } else if (chance(1)) {
      it.Running = false;
      it.RefusesConnections = chance(500);
    } else if (chance(1)) {
      it.Leaving = true;
    }
  }
  void restart(SimVm &it) {
    SimVm fresh;
    fresh.Name = it.Name;
    fresh.IncarnationNumber = it.IncarnationNumber + 1;
    fresh.ClockOffset = it.ClockOffset;
    fresh.ClockRate = it.ClockRate;
    fresh.Doc = makeZoneDocument(ZoneId("z"), Ppm(ZoneRateShare));
    fresh.Grants.GraceStartedAt = fresh.clock(Now);
    it = fresh;
  }
  void check() {
    std::map<std::string, VmId> users;
    Ppm rateShare;
    for (auto &it : Vms) {
      // A paused VM may resume at any moment and use what it holds at that
      // time.
      if (!it.Running || !holdsLease(it.OwnLease, it.clock(Now), Times))
        continue;
      rateShare +=
          usableRateShare(it.Pending, it.Doc, it.Name, it.incarnation());
      std::vector<std::string> used;
      for (auto &t :
           usableTargets(it.Pending, it.Doc, it.Name, it.incarnation()))
        used.push_back(t.Value);
      for (int n :
           usablePartitions(it.Pending, it.Doc, it.Name, it.incarnation()))
        used.push_back(std::to_string(n));
      for (auto &what : used)
        if (!users.emplace(what, it.Name).second)
          Violation =
              what + " used by " + users[what].Value + " and " + it.Name.Value;
    }
    Ppm assigned;
    for (auto &it : Store.Members)
      assigned += it.second.RateShare;
    if (rateShare > Ppm(ZoneRateShare) || assigned > Ppm(ZoneRateShare))
      Violation = "rate above the zone's";
    if (!Violation.empty())
      Violation += " at " + std::to_string(Now) + " ms";
  }
  void run(std::int64_t until) {
    constexpr std::int64_t Step = 25;
    for (; Now < until && Violation.empty(); Now += Step) {
      while (!Events.empty() && Events.begin()->first <= Now) {
        auto what = std::move(Events.begin()->second);
        Events.erase(Events.begin());
        what();
      }
      check();
      for (auto &it : Vms) {
        injectFault(it);
        if (!it.Running || Now < it.PausedUntil)
          continue;
        bool before = it.OwnLease.UnconfirmedAfterPause;
        detectPause(it.OwnLease, it.clock(Now), Times);
        if (it.OwnLease.UnconfirmedAfterPause && !before)
          restartGracePeriod(it.Grants, it.clock(Now));
        auto phase = Now + 125 * (&it - Vms.data());
        if (phase % 500 == 0)
          renew(it);
        if (phase % 1000 == 250)
          read(it);
        if (phase % 1000 == 500)
          decide(it);
        if (it.Leaving && it.OwnLease.Lost) {
          it.Running = false;
          it.RefusesConnections = true;
        }
      }
    }
  }
};

void runSeed(std::uint64_t seed, std::int64_t millis) {
  Sim sim(seed, 2 + static_cast<int>(seed % 4));
  sim.run(millis);
  sim.Faults = false;
  sim.run(millis + 60'000);
  Revision settled = sim.Store.Rev;
  sim.run(millis + 80'000);
  std::string name = "seed " + std::to_string(seed) + ": ";
  STRCMP_EQUAL_TEXT("", sim.Violation.c_str(), name.c_str());
  // Without faults, every resource gets an owner that can use it, and keeps
  // that owner.
  CHECK_TEXT(settled == sim.Store.Rev, (name + "changes go on").c_str());
  std::size_t targets = 0;
  std::size_t partitions = 0;
  Ppm rateShare;
  for (auto &it : sim.Vms) {
    if (!it.Running || !holdsLease(it.OwnLease, it.clock(sim.Now), sim.Times))
      continue;
    targets +=
        usableTargets(it.Pending, it.Doc, it.Name, it.incarnation()).size();
    partitions +=
        usablePartitions(it.Pending, it.Doc, it.Name, it.incarnation()).size();
    rateShare += usableRateShare(it.Pending, it.Doc, it.Name, it.incarnation());
  }
  CHECK_EQUAL_TEXT(sim.Targets.size(), targets, name.c_str());
  CHECK_EQUAL_TEXT(static_cast<std::size_t>(PartitionCount), partitions,
                   name.c_str());
  CHECK_EQUAL_TEXT(ZoneRateShare, rateShare.Value, name.c_str());
}

} // namespace

TEST_GROUP(OwnershipRandom){};

// Guards against two users of one resource and against rates that add up to
// more than the zone's, under pauses, crashes, restarts, planned stops, and
// lost or delayed messages and writes. SAVORY_SEED runs a single seed;
// SAVORY_SEEDS sets the number of seeds.
TEST(OwnershipRandom, NothingIsUsedTwiceAndEverythingGetsAnOwner) {
  const char *one = std::getenv("SAVORY_SEED");
  const char *many = std::getenv("SAVORY_SEEDS");
  if (one != nullptr)
    return runSeed(std::strtoull(one, nullptr, 10), 300'000);
  std::uint64_t count = many != nullptr ? std::strtoull(many, nullptr, 10) : 20;
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    runSeed(seed, 300'000);
  // Only these seeds found the following faults: a delayed write after a read
  // (21), a lease without the candidate's (47) and a successor that died after
  // a takeover (139).
  if (many == nullptr)
    for (std::uint64_t seed : {21, 47, 139})
      runSeed(seed, 300'000);
}
