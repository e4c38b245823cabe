#include "savorylb/pending_change.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <random>

using namespace savorylb;

namespace {

constexpr std::int64_t ZoneRate = 166'666;

/// One VM with its own clock.
struct Node {
  VmId Name;
  int Lives = 1;
  bool Up = true;
  /// The stopped process's endpoint refuses connections, which proves death.
  bool Refuses = false;
  bool Leaving = false;
  std::int64_t PausedUntil = 0;
  std::int64_t Offset = 0;
  double Speed = 1;
  ZoneDocument Doc;
  Lease Own;
  LeaseGrants Grants;
  PendingChange Pending;

  Incarnation life() const {
    return Incarnation(Name.Value + std::to_string(Lives));
  }
  MonoTime clock(std::int64_t ms) const {
    return MonoTime(Duration(
        Offset +
        static_cast<std::int64_t>(static_cast<double>(ms) * 1000 * Speed)));
  }
};

/// A zone whose store, messages and VMs are all subject to faults.
struct Sim {
  std::mt19937_64 Random;
  LeaseTimes Times;
  ZoneDocument Store = makeZoneDocument(ZoneId("z"), Ppm(ZoneRate));
  std::vector<Node> Nodes;
  std::multimap<std::int64_t, std::function<void()>> Events;
  std::set<TargetId> Targets;
  std::int64_t Now = 0;
  bool Faults = true;
  std::string Violation;

  Sim(std::uint64_t seed, int vms) : Random(seed) {
    for (int n = 0; n < 8; ++n)
      Targets.insert(TargetId("t" + std::to_string(n)));
    for (int n = 0; n < vms; ++n) {
      Node it;
      it.Name = VmId("vm" + std::to_string(n));
      it.Offset = below(1'000'000'000'000) + 1;
      it.Speed = 0.98 + 0.04 * static_cast<double>(below(1001)) / 1000;
      it.Doc = Store;
      it.Grants.StartedAt = it.clock(0);
      Nodes.push_back(it);
    }
  }
  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(n));
  }
  bool chance(int perMille) { return Faults && below(1000) < perMille; }
  /// Mostly short, sometimes longer than a lease.
  std::int64_t delay() { return chance(50) ? below(6000) : below(20); }
  void send(std::function<void()> what) {
    if (!chance(50))
      Events.emplace(Now + delay(), std::move(what));
  }
  /// Runs in a process; a paused one does it when it wakes, an ended one never.
  void sendTo(Node &to, int lives, const std::function<void()> &what) {
    send([this, &to, lives, what] { deliver(to, lives, what); });
  }
  void deliver(Node &to, int lives, const std::function<void()> &what) {
    if (!to.Up || to.Lives != lives)
      return;
    if (Now < to.PausedUntil)
      Events.emplace(to.PausedUntil,
                     [this, &to, lives, what] { deliver(to, lives, what); });
    else
      what();
  }
  Node &node(const VmId &vm) {
    return *std::find_if(Nodes.begin(), Nodes.end(),
                         [&](const Node &it) { return it.Name == vm; });
  }
  bool provedDead(const VmId &vm, const Incarnation &life) {
    Node &it = node(vm);
    return it.Up ? it.life() != life : it.Refuses;
  }
  /// Asks a VM for a lease; the reply says whether it is granted.
  void requestLease(Node &from, const VmId &to, const Incarnation &life,
                    const std::function<void(MonoTime)> &granted) {
    MonoTime sentAt = from.clock(Now);
    int lives = from.Lives;
    send([this, &from, to, life, granted, sentAt, lives] {
      Node &grantor = node(to);
      if (grantor.life() != life)
        return;
      deliver(
          grantor, grantor.Lives,
          [this, &from, &grantor, granted, sentAt, lives] {
            if (grantLease(grantor.Grants, from.Name,
                           Incarnation(from.Name.Value + std::to_string(lives)),
                           grantor.clock(Now), Times))
              sendTo(from, lives, [granted, sentAt] { granted(sentAt); });
          });
    });
  }
  void renew(Node &it) {
    Lease &own = it.Own;
    if (!own.Successor.empty()) {
      VmId vm = own.Successor;
      Incarnation life = own.SuccessorIncarnation;
      if (provedDead(vm, life))
        markSuccessorDead(own, it.clock(Now));
      else
        requestLease(it, vm, life, [this, &own, vm, life](MonoTime sentAt) {
          if (own.Successor == vm && own.SuccessorIncarnation == life)
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
  void write(Node &it, const OwnershipPlan &plan, Revision base) {
    beginChange(it.Pending, it.Grants, it.Own, plan, it.Doc, it.clock(Now));
    // The answer is not needed: what was written shows in the next read.
    send([this, plan, base] {
      if (Store.Rev == base)
        Store = plan.Next;
    });
  }
  void read(Node &it) {
    MonoTime askedAt = it.clock(Now);
    sendTo(it, it.Lives, [this, &it, askedAt] {
      if (it.Doc.Rev < Store.Rev)
        it.Doc = Store;
      settleChange(it.Pending, it.Grants, it.Own, it.Doc, it.Name, it.life());
      recordStoreContact(it.Own, askedAt);
    });
  }
  void decide(Node &it) {
    OwnershipView view;
    view.Self = it.Name;
    view.Life = it.life();
    view.PeerEndpoint = it.Name.Value;
    view.Doc = it.Doc;
    view.ConfiguredTargets = Targets;
    view.Leaving = it.Leaving;
    for (const auto &[vm, member] : it.Doc.Members) {
      if (provedDead(vm, member.Life) && !chance(300))
        view.ProvedDead.insert({vm, member.Life});
      if (node(vm).Up && !chance(50))
        view.Alive.insert(vm);
      if (node(vm).Leaving)
        view.Departing.insert(vm);
    }
    auto plan = planOwnership(view, it.Grants, it.clock(Now), Times);
    if (plan.Step == OwnershipStep::None)
      return;
    if (plan.Step != OwnershipStep::NameSuccessor)
      return write(it, plan, it.Doc.Rev);
    Incarnation life = plan.Next.Members.at(plan.Other).Life;
    requestLease(it, plan.Other, life, [this, &it, plan, life](MonoTime at) {
      if (it.Doc.Rev + Revision(1) != plan.Next.Rev)
        return;
      write(it, plan, it.Doc.Rev);
      renewCandidate(it.Own, plan.Other, life, at, Times);
    });
  }
  void disturb(Node &it) {
    if (!it.Up) {
      if (!Faults || chance(10))
        restart(it);
    } else if (chance(2)) {
      it.PausedUntil = Now + below(9000);
    } else if (chance(1)) {
      it.Up = false;
      it.Refuses = chance(500);
    } else if (chance(1)) {
      it.Leaving = true;
    }
  }
  void restart(Node &it) {
    Node fresh;
    fresh.Name = it.Name;
    fresh.Lives = it.Lives + 1;
    fresh.Offset = it.Offset;
    fresh.Speed = it.Speed;
    fresh.Doc = makeZoneDocument(ZoneId("z"), Ppm(ZoneRate));
    fresh.Grants.StartedAt = fresh.clock(Now);
    it = fresh;
  }
  void check() {
    std::map<std::string, VmId> users;
    Ppm rate;
    for (auto &it : Nodes) {
      // A paused VM may wake at any moment and use what it holds by then.
      if (!it.Up || !holdsLease(it.Own, it.clock(Now), Times))
        continue;
      rate += usableRate(it.Pending, it.Doc, it.Name, it.life());
      std::vector<std::string> used;
      for (auto &t : usableTargets(it.Pending, it.Doc, it.Name, it.life()))
        used.push_back(t.Value);
      for (int n : usablePartitions(it.Pending, it.Doc, it.Name, it.life()))
        used.push_back(std::to_string(n));
      for (auto &what : used)
        if (!users.emplace(what, it.Name).second)
          Violation =
              what + " used by " + users[what].Value + " and " + it.Name.Value;
    }
    Ppm assigned;
    for (auto &it : Store.Members)
      assigned += it.second.RatePpm;
    if (rate > Ppm(ZoneRate) || assigned > Ppm(ZoneRate))
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
      for (auto &it : Nodes) {
        disturb(it);
        if (!it.Up || Now < it.PausedUntil)
          continue;
        bool before = it.Own.UnconfirmedAfterPause;
        detectPause(it.Own, it.clock(Now), Times);
        if (it.Own.UnconfirmedAfterPause && !before)
          restartGracePeriod(it.Grants, it.clock(Now));
        auto phase = Now + 125 * (&it - Nodes.data());
        if (phase % 500 == 0)
          renew(it);
        if (phase % 1000 == 250)
          read(it);
        if (phase % 1000 == 500)
          decide(it);
        if (it.Leaving && it.Own.Lost) {
          it.Up = false;
          it.Refuses = true;
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
  // Without faults everything gets an owner that can use it, and stays there.
  CHECK_TEXT(settled == sim.Store.Rev, (name + "changes go on").c_str());
  std::size_t targets = 0;
  std::size_t partitions = 0;
  Ppm rate;
  for (auto &it : sim.Nodes) {
    if (!it.Up || !holdsLease(it.Own, it.clock(sim.Now), sim.Times))
      continue;
    targets += usableTargets(it.Pending, it.Doc, it.Name, it.life()).size();
    partitions +=
        usablePartitions(it.Pending, it.Doc, it.Name, it.life()).size();
    rate += usableRate(it.Pending, it.Doc, it.Name, it.life());
  }
  CHECK_EQUAL_TEXT(sim.Targets.size(), targets, name.c_str());
  CHECK_EQUAL_TEXT(static_cast<std::size_t>(PartitionCount), partitions,
                   name.c_str());
  CHECK_EQUAL_TEXT(ZoneRate, rate.Value, name.c_str());
}

} // namespace

TEST_GROUP(OwnershipRandom){};

// Guards against two users of one resource and a rate above the zone's under
// pauses, crashes, restarts, planned stops, lost and late messages and writes.
// SAVORY_SEED runs one seed; SAVORY_SEEDS sets how many are run.
TEST(OwnershipRandom, NothingIsUsedTwiceAndEverythingGetsAnOwner) {
  const char *one = std::getenv("SAVORY_SEED");
  const char *many = std::getenv("SAVORY_SEEDS");
  if (one != nullptr)
    return runSeed(std::strtoull(one, nullptr, 10), 300'000);
  std::uint64_t count = many != nullptr ? std::strtoull(many, nullptr, 10) : 20;
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    runSeed(seed, 300'000);
  // A successor that died after it had taken over (139), a lease without the
  // candidate's (47) and a late write after a read (21) showed only here.
  if (many == nullptr)
    for (std::uint64_t seed : {21, 47, 139})
      runSeed(seed, 300'000);
}
