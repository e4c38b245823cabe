#include "fleet_simulation.h"

#include <algorithm>
#include <stdexcept>

namespace savorylb::replay {
namespace {

constexpr Duration TickInterval = Millis(100);
constexpr Duration ReadInterval = Millis(1000);
constexpr Duration OwnershipInterval = Millis(1000);
/// Like the daemon, a VM runs ownership steps at short intervals after its
/// start, so that it joins its zone and claims resources quickly.
constexpr Duration StartupInterval = Millis(150);
constexpr Duration StartupTime = Seconds(5);

SimulatedVm makeVm(FleetSimulation &fleet, const Trace &trace, int number) {
  const Json::Value &regions = trace.Parameters["regions"];
  int zones = static_cast<int>(regions.size()) * 2;
  SimulatedVm vm;
  int zone = number % zones;
  vm.Region = RegionId(regions[zone / 2].asString());
  vm.Zone = ZoneId(vm.Region.Value + (zone % 2 == 0 ? "-a" : "-b"));
  vm.Name = VmId(vm.Zone.Value + "-" + std::to_string(number / zones + 1));
  vm.ClockOffset = Duration(1 + fleet.Rand.below(1'000'000'000'000));
  double drift = trace.Parameters.get("clock_drift", 0.0).asDouble();
  vm.ClockRate = 1 + drift * (2 * fleet.Rand.uniform() - 1);
  vm.StartCount = 0;
  return vm;
}

void startVm(FleetSimulation &fleet, SimulatedVm &vm) {
  SimulatedVm fresh;
  fresh.Name = vm.Name;
  fresh.Zone = vm.Zone;
  fresh.Region = vm.Region;
  fresh.StartCount = vm.StartCount + 1;
  fresh.ClockOffset = vm.ClockOffset;
  fresh.ClockRate = vm.ClockRate;
  fresh.Up = true;
  fresh.StartedAt = fleet.Clock.Now;
  fresh.LastTickAt = fleet.Clock.Now;
  auto zones = static_cast<std::int64_t>(fleet.StoredDocuments.size());
  fresh.Doc = makeZoneDocument(vm.Zone, Ppm(WholePpm.Value / zones));
  fresh.Grants.GraceStartedAt = fresh.clock(fleet.Clock.Now);
  vm = fresh;
  if (fleet.OnVmStart)
    fleet.OnVmStart(vm);
}

void tickVm(FleetSimulation &fleet, SimulatedVm &vm) {
  MonoTime noticed = vm.OwnLease.PauseDetectedAt;
  mayUseOwned(fleet, vm);
  vm.LastTickAt = fleet.Clock.Now;
  if (vm.OwnLease.PauseDetectedAt != noticed)
    readStore(fleet, vm);
}

void renewLeases(FleetSimulation &fleet, SimulatedVm &vm) {
  MonoTime now = clockOf(fleet, vm);
  for (const auto &[name, member] : vm.Doc.Members)
    if (name != vm.Name && isProvedDead(fleet, name, member.VmIncarnation))
      vm.ProvedDeadAt.try_emplace({name, member.VmIncarnation}, now);
  VmId successor = vm.OwnLease.Successor;
  Incarnation incarnation = vm.OwnLease.SuccessorIncarnation;
  if (!successor.empty()) {
    if (isProvedDead(fleet, successor, incarnation))
      markSuccessorDead(vm.OwnLease, now);
    requestLease(fleet, vm, successor, incarnation,
                 [&, successor, incarnation](auto sentAt) {
                   if (vm.OwnLease.Successor == successor &&
                       vm.OwnLease.SuccessorIncarnation == incarnation)
                     renewLease(vm.OwnLease, sentAt, fleet.Times);
                 });
  }
  auto candidates = vm.OwnLease.Candidates;
  for (const auto &[key, candidate] : candidates) {
    if (isProvedDead(fleet, key.first, key.second))
      markCandidateDead(vm.OwnLease, key.first, key.second, now);
    requestLease(fleet, vm, key.first, key.second, [&, key = key](auto sentAt) {
      renewCandidate(vm.OwnLease, key.first, key.second, sentAt, fleet.Times);
    });
  }
}

void scheduleVm(FleetSimulation &fleet, SimulatedVm &vm, Duration phase) {
  auto job = [&fleet, &vm](void (*run)(FleetSimulation &, SimulatedVm &)) {
    return [&fleet, &vm, run] {
      if (isRunning(fleet, vm))
        run(fleet, vm);
    };
  };
  fleet.Clock.every(phase, TickInterval, job(tickVm));
  fleet.Clock.every(phase, fleet.Times.RenewEvery, job(renewLeases));
  fleet.Clock.every(phase, ReadInterval, job(readStore));
  fleet.Clock.every(phase, StartupInterval, [&fleet, &vm] {
    if (isRunning(fleet, vm) && fleet.Clock.Now - vm.StartedAt < StartupTime)
      runOwnershipStep(fleet, vm);
  });
  fleet.Clock.every(phase, OwnershipInterval, [&fleet, &vm] {
    if (isRunning(fleet, vm) && fleet.Clock.Now - vm.StartedAt >= StartupTime)
      runOwnershipStep(fleet, vm);
  });
}

void applyEvent(FleetSimulation &fleet, const TraceEvent &event) {
  const Json::Value &it = event.Fields;
  fleet.Log.record(fleet.Clock.Now, event.Kind);
  if (event.Kind == "crash") {
    SimulatedVm &vm = vmOf(fleet, VmId(it["vm"].asString()));
    vm.Up = false;
    vm.RefusesConnections = it.get("refuses", true).asBool();
  } else if (event.Kind == "restart") {
    startVm(fleet, vmOf(fleet, VmId(it["vm"].asString())));
  } else if (event.Kind == "pause") {
    SimulatedVm &vm = vmOf(fleet, VmId(it["vm"].asString()));
    vm.PausedFrom = fleet.Clock.Now;
    vm.PausedUntil = fleet.Clock.Now + millisOf(it, "for_ms");
  } else if (event.Kind == "cut") {
    fleet.IsolatedZones.insert(ZoneId(it["zone"].asString()));
  } else if (event.Kind == "heal") {
    fleet.IsolatedZones.erase(ZoneId(it["zone"].asString()));
  } else if (event.Kind == "store") {
    fleet.StoreDown = it.get("down", false).asBool();
    fleet.LostNotificationChance = it.get("lost", 0.0).asDouble();
    fleet.LateWriteChance = it.get("late", 0.0).asDouble();
  } else {
    throw std::runtime_error("unknown event " + event.Kind);
  }
}

} // namespace

FleetSimulation::FleetSimulation(const Trace &trace, DecisionLog &log)
    : Rand(trace.Seed), Log(log) {
  const Json::Value &params = trace.Parameters;
  InterZoneDelay = millisOf(params, "zone_delay_ms", 1);
  InterRegionDelay = millisOf(params, "region_delay_ms", 20);
  int targets = params.get("targets", 16).asInt();
  for (int n = 0; n < params.get("vms", 10).asInt(); ++n)
    Vms.push_back(makeVm(*this, trace, n));
  for (const SimulatedVm &it : Vms)
    Targets.try_emplace(it.Zone);
  for (int n = 0; n < targets; ++n)
    std::next(Targets.begin(), n % static_cast<int>(Targets.size()))
        ->second.insert(TargetId("target-" + std::to_string(n)));
  auto zones = static_cast<std::int64_t>(Targets.size());
  for (const auto &[zone, names] : Targets)
    StoredDocuments[zone] = makeZoneDocument(zone, Ppm(WholePpm.Value / zones));
}

void startFleet(FleetSimulation &fleet, const Trace &trace) {
  // With the same phase, all VMs of a zone plan their changes at the same time.
  bool samePhase = trace.Parameters.get("same_phase", false).asBool();
  for (SimulatedVm &vm : fleet.Vms) {
    startVm(fleet, vm);
    scheduleVm(fleet, vm,
               samePhase ? Duration(0) : Duration(fleet.Rand.below(1'000'000)));
  }
  for (const TraceEvent &event : trace.Events)
    fleet.Clock.at(event.At, [&fleet, &event] { applyEvent(fleet, event); });
}

SimulatedVm &vmOf(FleetSimulation &fleet, const VmId &name) {
  for (SimulatedVm &it : fleet.Vms)
    if (it.Name == name)
      return it;
  throw std::runtime_error("unknown VM " + name.Value);
}

bool isRunning(const FleetSimulation &fleet, const SimulatedVm &vm) {
  return vm.Up && fleet.Clock.Now >= vm.PausedUntil;
}

bool canReach(const FleetSimulation &fleet, const SimulatedVm &from,
              const SimulatedVm &to) {
  return from.Zone == to.Zone || (fleet.IsolatedZones.count(from.Zone) == 0 &&
                                  fleet.IsolatedZones.count(to.Zone) == 0);
}

Duration delayBetween(const FleetSimulation &fleet, const SimulatedVm &from,
                      const SimulatedVm &to) {
  if (from.Zone == to.Zone)
    return Duration(200); // Latency within a zone, in microseconds.
  return from.Region == to.Region ? fleet.InterZoneDelay
                                  : fleet.InterRegionDelay;
}

void runInVm(FleetSimulation &fleet, SimulatedVm &vm, int startCount,
             std::function<void()> task) {
  if (!vm.Up || vm.StartCount != startCount)
    return;
  if (isRunning(fleet, vm))
    return task();
  fleet.Clock.at(vm.PausedUntil,
                 [&fleet, &vm, startCount, task = std::move(task)] {
                   runInVm(fleet, vm, startCount, task);
                 });
}

void sendMessage(FleetSimulation &fleet, const SimulatedVm &from,
                 SimulatedVm &to, std::function<void()> task) {
  const SimulatedVm *sender = &from;
  int startCount = to.StartCount;
  fleet.Clock.after(delayBetween(fleet, from, to),
                    [&fleet, sender, &to, startCount, task = std::move(task)] {
                      if (canReach(fleet, *sender, to))
                        runInVm(fleet, to, startCount, task);
                    });
}

MonoTime clockOf(const FleetSimulation &fleet, const SimulatedVm &vm) {
  return vm.clock(fleet.Clock.Now);
}

bool mayUseOwned(FleetSimulation &fleet, SimulatedVm &vm) {
  MonoTime now = clockOf(fleet, vm);
  MonoTime noticed = vm.OwnLease.PauseDetectedAt;
  detectPause(vm.OwnLease, now, fleet.Times);
  if (vm.OwnLease.PauseDetectedAt != noticed) {
    restartGracePeriod(vm.Grants, now);
    fleet.Log.record(fleet.Clock.Now, "pause noticed by " + vm.Name.Value);
  }
  return vm.Doc.Members.count(vm.Name) != 0 &&
         vm.Doc.Members.at(vm.Name).VmIncarnation == vm.incarnation() &&
         holdsLease(vm.OwnLease, now, fleet.Times);
}

bool reachesStore(const FleetSimulation &fleet, const SimulatedVm &vm) {
  return !fleet.StoreDown && fleet.IsolatedZones.count(vm.Zone) == 0;
}

bool isProvedDead(FleetSimulation &fleet, const VmId &vm,
                  const Incarnation &incarnation) {
  const SimulatedVm &it = vmOf(fleet, vm);
  return it.Up ? it.incarnation() != incarnation : it.RefusesConnections;
}

void requestLease(FleetSimulation &fleet, SimulatedVm &from, const VmId &to,
                  const Incarnation &incarnation,
                  std::function<void(MonoTime)> granted) {
  SimulatedVm &grantor = vmOf(fleet, to);
  MonoTime sentAt = clockOf(fleet, from);
  Incarnation holder = from.incarnation();
  sendMessage(fleet, from, grantor,
              [&fleet, &from, &grantor, incarnation, holder, sentAt,
               granted = std::move(granted)] {
                if (grantor.incarnation() != incarnation ||
                    !grantLease(grantor.Grants, from.Name, holder,
                                clockOf(fleet, grantor), fleet.Times) ||
                    from.incarnation() != holder)
                  return;
                sendMessage(fleet, grantor, from,
                            [granted, sentAt] { granted(sentAt); });
              });
}

} // namespace savorylb::replay
