#include "fleet.h"

#include <algorithm>
#include <stdexcept>

namespace savorylb::replay {
namespace {

constexpr Duration TickInterval = Millis(100);
constexpr Duration ReadInterval = Millis(1000);
constexpr Duration OwnershipInterval = Millis(1000);
/// As in the daemon: a VM joins and claims in quick steps after its start.
constexpr Duration StartInterval = Millis(150);
constexpr Duration StartTime = Seconds(5);

ReplayVm makeVm(Fleet &fleet, const Trace &trace, int number) {
  const Json::Value &regions = trace.Parameters["regions"];
  int zones = static_cast<int>(regions.size()) * 2;
  ReplayVm vm;
  int zone = number % zones;
  vm.Region = RegionId(regions[zone / 2].asString());
  vm.Zone = ZoneId(vm.Region.Value + (zone % 2 == 0 ? "-a" : "-b"));
  vm.Name = VmId(vm.Zone.Value + "-" + std::to_string(number / zones + 1));
  vm.Offset = Duration(1 + fleet.Rand.below(1'000'000'000'000));
  double drift = trace.Parameters.get("clock_drift", 0.0).asDouble();
  vm.Speed = 1 + drift * (2 * fleet.Rand.unit() - 1);
  vm.Lives = 0;
  return vm;
}

void startVm(Fleet &fleet, ReplayVm &vm) {
  ReplayVm fresh;
  fresh.Name = vm.Name;
  fresh.Zone = vm.Zone;
  fresh.Region = vm.Region;
  fresh.Lives = vm.Lives + 1;
  fresh.Offset = vm.Offset;
  fresh.Speed = vm.Speed;
  fresh.Up = true;
  fresh.StartedAt = fleet.Time.Now;
  fresh.LastHeard = fleet.Time.Now;
  auto zones = static_cast<std::int64_t>(fleet.Store.size());
  fresh.Doc = makeZoneDocument(vm.Zone, Ppm(WholePpm.Value / zones));
  fresh.Grants.GraceStartedAt = fresh.clock(fleet.Time.Now);
  vm = fresh;
  if (fleet.Started)
    fleet.Started(vm);
}

void tickVm(Fleet &fleet, ReplayVm &vm) {
  MonoTime noticed = vm.Own.PauseNoticedAt;
  mayUseOwned(fleet, vm);
  vm.LastHeard = fleet.Time.Now;
  if (vm.Own.PauseNoticedAt != noticed)
    readStore(fleet, vm);
}

void renewLeases(Fleet &fleet, ReplayVm &vm) {
  MonoTime now = clockOf(fleet, vm);
  for (const auto &[name, member] : vm.Doc.Members)
    if (name != vm.Name && isProvedDead(fleet, name, member.VmIncarnation))
      vm.ProvedDeadAt.try_emplace({name, member.VmIncarnation}, now);
  VmId successor = vm.Own.Successor;
  Incarnation life = vm.Own.SuccessorIncarnation;
  if (!successor.empty()) {
    if (isProvedDead(fleet, successor, life))
      markSuccessorDead(vm.Own, now);
    requestLease(fleet, vm, successor, life, [&, successor, life](auto sentAt) {
      if (vm.Own.Successor == successor && vm.Own.SuccessorIncarnation == life)
        renewLease(vm.Own, sentAt, fleet.Times);
    });
  }
  auto candidates = vm.Own.Candidates;
  for (const auto &[key, candidate] : candidates) {
    if (isProvedDead(fleet, key.first, key.second))
      markCandidateDead(vm.Own, key.first, key.second, now);
    requestLease(fleet, vm, key.first, key.second, [&, key = key](auto sentAt) {
      renewCandidate(vm.Own, key.first, key.second, sentAt, fleet.Times);
    });
  }
}

void scheduleVm(Fleet &fleet, ReplayVm &vm, Duration phase) {
  auto job = [&fleet, &vm](void (*run)(Fleet &, ReplayVm &)) {
    return [&fleet, &vm, run] {
      if (isRunning(fleet, vm))
        run(fleet, vm);
    };
  };
  fleet.Time.every(phase, TickInterval, job(tickVm));
  fleet.Time.every(phase, fleet.Times.RenewEvery, job(renewLeases));
  fleet.Time.every(phase, ReadInterval, job(readStore));
  fleet.Time.every(phase, StartInterval, [&fleet, &vm] {
    if (isRunning(fleet, vm) && fleet.Time.Now - vm.StartedAt < StartTime)
      runOwnershipStep(fleet, vm);
  });
  fleet.Time.every(phase, OwnershipInterval, [&fleet, &vm] {
    if (isRunning(fleet, vm) && fleet.Time.Now - vm.StartedAt >= StartTime)
      runOwnershipStep(fleet, vm);
  });
}

void runEvent(Fleet &fleet, const TraceEvent &event) {
  const Json::Value &it = event.Fields;
  fleet.Log.note(fleet.Time.Now, event.What);
  if (event.What == "crash") {
    ReplayVm &vm = vmOf(fleet, VmId(it["vm"].asString()));
    vm.Up = false;
    vm.Refuses = it.get("refuses", true).asBool();
  } else if (event.What == "restart") {
    startVm(fleet, vmOf(fleet, VmId(it["vm"].asString())));
  } else if (event.What == "pause") {
    ReplayVm &vm = vmOf(fleet, VmId(it["vm"].asString()));
    vm.PausedFrom = fleet.Time.Now;
    vm.PausedUntil = fleet.Time.Now + millisOf(it, "for_ms");
  } else if (event.What == "cut") {
    fleet.Cut.insert(ZoneId(it["zone"].asString()));
  } else if (event.What == "heal") {
    fleet.Cut.erase(ZoneId(it["zone"].asString()));
  } else if (event.What == "store") {
    fleet.StoreDown = it.get("down", false).asBool();
    fleet.LostWrites = it.get("lost", 0.0).asDouble();
    fleet.LateWrites = it.get("late", 0.0).asDouble();
  } else {
    throw std::runtime_error("unknown event " + event.What);
  }
}

} // namespace

Fleet::Fleet(const Trace &trace, DecisionLog &log)
    : Rand(trace.Seed), Log(log) {
  const Json::Value &given = trace.Parameters;
  ZoneDelay = millisOf(given, "zone_delay_ms", 1);
  RegionDelay = millisOf(given, "region_delay_ms", 20);
  int targets = given.get("targets", 16).asInt();
  for (int n = 0; n < given.get("vms", 10).asInt(); ++n)
    Vms.push_back(makeVm(*this, trace, n));
  for (const ReplayVm &it : Vms)
    Targets.try_emplace(it.Zone);
  for (int n = 0; n < targets; ++n)
    std::next(Targets.begin(), n % static_cast<int>(Targets.size()))
        ->second.insert(TargetId("target-" + std::to_string(n)));
  auto zones = static_cast<std::int64_t>(Targets.size());
  for (const auto &[zone, names] : Targets)
    Store[zone] = makeZoneDocument(zone, Ppm(WholePpm.Value / zones));
}

void startFleet(Fleet &fleet, const Trace &trace) {
  // With one phase for all, the VMs of a zone plan at the same moment.
  bool together = trace.Parameters.get("same_phase", false).asBool();
  for (ReplayVm &vm : fleet.Vms) {
    startVm(fleet, vm);
    scheduleVm(fleet, vm,
               together ? Duration(0) : Duration(fleet.Rand.below(1'000'000)));
  }
  for (const TraceEvent &event : trace.Events)
    fleet.Time.at(event.At, [&fleet, &event] { runEvent(fleet, event); });
}

ReplayVm &vmOf(Fleet &fleet, const VmId &name) {
  for (ReplayVm &it : fleet.Vms)
    if (it.Name == name)
      return it;
  throw std::runtime_error("unknown VM " + name.Value);
}

bool isRunning(const Fleet &fleet, const ReplayVm &vm) {
  return vm.Up && fleet.Time.Now >= vm.PausedUntil;
}

bool canReach(const Fleet &fleet, const ReplayVm &from, const ReplayVm &to) {
  return from.Zone == to.Zone ||
         (fleet.Cut.count(from.Zone) == 0 && fleet.Cut.count(to.Zone) == 0);
}

Duration delayBetween(const Fleet &fleet, const ReplayVm &from,
                      const ReplayVm &to) {
  if (from.Zone == to.Zone)
    return Duration(200);
  return from.Region == to.Region ? fleet.ZoneDelay : fleet.RegionDelay;
}

void runInVm(Fleet &fleet, ReplayVm &vm, int lives,
             std::function<void()> what) {
  if (!vm.Up || vm.Lives != lives)
    return;
  if (isRunning(fleet, vm))
    return what();
  fleet.Time.at(vm.PausedUntil, [&fleet, &vm, lives, what = std::move(what)] {
    runInVm(fleet, vm, lives, what);
  });
}

void sendMessage(Fleet &fleet, const ReplayVm &from, ReplayVm &to,
                 std::function<void()> what) {
  const ReplayVm *sender = &from;
  int lives = to.Lives;
  fleet.Time.after(delayBetween(fleet, from, to),
                   [&fleet, sender, &to, lives, what = std::move(what)] {
                     if (canReach(fleet, *sender, to))
                       runInVm(fleet, to, lives, what);
                   });
}

MonoTime clockOf(const Fleet &fleet, const ReplayVm &vm) {
  return vm.clock(fleet.Time.Now);
}

bool mayUseOwned(Fleet &fleet, ReplayVm &vm) {
  MonoTime now = clockOf(fleet, vm);
  MonoTime noticed = vm.Own.PauseNoticedAt;
  detectPause(vm.Own, now, fleet.Times);
  if (vm.Own.PauseNoticedAt != noticed) {
    restartGracePeriod(vm.Grants, now);
    fleet.Log.note(fleet.Time.Now, "pause noticed by " + vm.Name.Value);
  }
  return vm.Doc.Members.count(vm.Name) != 0 &&
         vm.Doc.Members.at(vm.Name).VmIncarnation == vm.life() &&
         holdsLease(vm.Own, now, fleet.Times);
}

bool reachesStore(const Fleet &fleet, const ReplayVm &vm) {
  return !fleet.StoreDown && fleet.Cut.count(vm.Zone) == 0;
}

bool isProvedDead(Fleet &fleet, const VmId &vm, const Incarnation &life) {
  const ReplayVm &it = vmOf(fleet, vm);
  return it.Up ? it.life() != life : it.Refuses;
}

void requestLease(Fleet &fleet, ReplayVm &from, const VmId &to,
                  const Incarnation &life,
                  std::function<void(MonoTime)> granted) {
  ReplayVm &grantor = vmOf(fleet, to);
  MonoTime sentAt = clockOf(fleet, from);
  Incarnation holder = from.life();
  sendMessage(fleet, from, grantor,
              [&fleet, &from, &grantor, life, holder, sentAt,
               granted = std::move(granted)] {
                if (grantor.life() != life ||
                    !grantLease(grantor.Grants, from.Name, holder,
                                clockOf(fleet, grantor), fleet.Times) ||
                    from.life() != holder)
                  return;
                sendMessage(fleet, grantor, from,
                            [granted, sentAt] { granted(sentAt); });
              });
}

} // namespace savorylb::replay
