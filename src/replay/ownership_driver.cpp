// Ownership of targets, partitions and rate while VMs join, crash or pause,
// zones are disconnected and the store fails.

#include "drivers.h"
#include "fleet_simulation.h"

#include <algorithm>

namespace savorylb::replay {
namespace {

constexpr Duration CheckInterval = Millis(25);

/// A VM that crashed or paused, until its resources are taken over.
struct Outage {
  VmId Vm;
  Incarnation VmIncarnation;
  Duration StartedAt{};
  /// Neither taken over nor ended by the VM itself.
  bool Open = true;
};

/// Resources that the VMs of one zone may use at one moment.
struct ZoneUse {
  /// The VM that uses each resource.
  std::map<std::string, VmId> Users;
  /// Number of users beyond the first, over all resources.
  int DoubleUsers = 0;
  Ppm Rate;
};

struct OwnershipMonitor {
  FleetSimulation &Fleet;
  std::vector<Outage> Outages;
  /// Number of users of a resource beyond its first, summed over all checks.
  long DoubleUsers = 0;
  /// Number of zones whose VMs may use more than the zone's rate, summed over
  /// all checks.
  long RateOverruns = 0;
  Duration LongestTakeover{};
  int Takeovers = 0;
};

/// Determines which VM may use which resource. Paused VMs count, since they may
/// resume at any moment and use their resources; their leases are checked on
/// their own clocks.
ZoneUse measureUse(const FleetSimulation &fleet, const ZoneId &zone) {
  ZoneUse use;
  for (const SimulatedVm &vm : fleet.Vms) {
    if (vm.Zone != zone || !vm.Up ||
        !holdsLease(vm.OwnLease, clockOf(fleet, vm), fleet.Times))
      continue;
    use.Rate += usableRateShare(vm.Pending, vm.Doc, vm.Name, vm.incarnation());
    std::vector<std::string> used;
    for (const auto &it :
         usableTargets(vm.Pending, vm.Doc, vm.Name, vm.incarnation()))
      used.push_back(it.Value);
    for (int it :
         usablePartitions(vm.Pending, vm.Doc, vm.Name, vm.incarnation()))
      used.push_back("partition-" + std::to_string(it));
    for (const std::string &it : used)
      use.DoubleUsers += use.Users.emplace(it, vm.Name).second ? 0 : 1;
  }
  return use;
}

void checkResourceUse(OwnershipMonitor &monitor) {
  FleetSimulation &fleet = monitor.Fleet;
  for (const auto &[zone, doc] : fleet.StoredDocuments) {
    ZoneUse use = measureUse(fleet, zone);
    monitor.DoubleUsers += use.DoubleUsers;
    monitor.RateOverruns += use.Rate > doc.RateShare ? 1 : 0;
  }
}

bool hasPeer(const FleetSimulation &fleet, const SimulatedVm &vm) {
  return std::any_of(fleet.Vms.begin(), fleet.Vms.end(), [&](const auto &it) {
    return it.Zone == vm.Zone && it.Name != vm.Name && isRunning(fleet, it);
  });
}

/// \returns whether the incarnation has left the owner map and all resources of
/// the zone have a user again. The owner map alone would not reveal a receiver
/// that cannot use what it received.
bool isTakenOver(const FleetSimulation &fleet, const SimulatedVm &vm,
                 const Outage &outage) {
  const ZoneDocument &doc = fleet.StoredDocuments.at(vm.Zone);
  auto member = doc.Members.find(vm.Name);
  if (member != doc.Members.end() &&
      member->second.VmIncarnation == outage.VmIncarnation)
    return false;
  ZoneUse use = measureUse(fleet, vm.Zone);
  return use.Users.size() ==
         fleet.Targets.at(vm.Zone).size() + std::size_t{PartitionCount};
}

void updateOutages(OwnershipMonitor &monitor) {
  FleetSimulation &fleet = monitor.Fleet;
  for (SimulatedVm &vm : fleet.Vms) {
    if (isRunning(fleet, vm) || vm.StartedAt == fleet.Clock.Now ||
        !hasPeer(fleet, vm))
      continue;
    bool known = std::any_of(
        monitor.Outages.begin(), monitor.Outages.end(), [&](const Outage &it) {
          return it.Vm == vm.Name && it.VmIncarnation == vm.incarnation();
        });
    if (!known)
      monitor.Outages.push_back({vm.Name, vm.incarnation(), fleet.Clock.Now});
  }
  for (Outage &it : monitor.Outages) {
    const SimulatedVm &vm = vmOf(fleet, it.Vm);
    Duration lasted = fleet.Clock.Now - it.StartedAt;
    if (!it.Open)
      continue;
    if (isTakenOver(fleet, vm, it)) {
      it.Open = false;
      ++monitor.Takeovers;
      fleet.Log.record(fleet.Clock.Now, it.Vm.Value + " taken over");
      monitor.LongestTakeover = std::max(monitor.LongestTakeover, lasted);
    } else if (vm.incarnation() == it.VmIncarnation && isRunning(fleet, vm) &&
               lasted < fleet.Times.Granted) {
      // The VM resumed before any other could have taken over.
      it.Open = false;
    }
  }
}

} // namespace

Measurements replayOwnership(const Trace &trace, DecisionLog &log) {
  FleetSimulation fleet(trace, log);
  OwnershipMonitor monitor{fleet, {}};
  startFleet(fleet, trace);
  fleet.Clock.every(CheckInterval, CheckInterval, [&monitor] {
    checkResourceUse(monitor);
    updateOutages(monitor);
  });
  fleet.Clock.runUntil(trace.Length);
  Measurements measured;
  std::size_t unowned = 0;
  std::int64_t unusedRate = 0;
  for (const auto &[zone, doc] : fleet.StoredDocuments) {
    ZoneUse use = measureUse(fleet, zone);
    unowned += fleet.Targets[zone].size() + PartitionCount - use.Users.size();
    unusedRate += (doc.RateShare - use.Rate).Value;
  }
  measured["double_users"] = static_cast<double>(monitor.DoubleUsers);
  measured["rate_overruns"] = static_cast<double>(monitor.RateOverruns);
  measured["takeovers"] = monitor.Takeovers;
  measured["open_outages"] = static_cast<double>(
      std::count_if(monitor.Outages.begin(), monitor.Outages.end(),
                    [](const Outage &it) { return it.Open; }));
  measured["longest_takeover_ms"] =
      static_cast<double>(monitor.LongestTakeover.count()) / 1000;
  measured["unowned_at_end"] = static_cast<double>(unowned);
  measured["unused_rate_ppm_at_end"] = static_cast<double>(unusedRate);
  return measured;
}

} // namespace savorylb::replay
