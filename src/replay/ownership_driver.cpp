// Joins, crashes, pauses, cuts and store faults against the owner maps.

#include "drivers.h"
#include "fleet.h"

#include <algorithm>

namespace savorylb::replay {
namespace {

constexpr Duration CheckInterval = Millis(25);

/// A VM that stopped responding, until its zone has taken it over.
struct Outage {
  VmId Vm;
  Incarnation Life;
  Duration Since{};
  bool Open = true;
};

/// What the VMs of one zone use at one moment.
struct ZoneUse {
  std::map<std::string, VmId> Users;
  int Doubles = 0;
  Ppm Rate;
};

struct Watch {
  Fleet &Fleets;
  std::vector<Outage> Outages;
  long DoubleUsers = 0;
  long RateOverruns = 0;
  Duration LongestTakeover{};
  int Takeovers = 0;
};

/// A paused VM may wake at any moment and use what it holds by then, so it
/// counts; the lease is judged on the VM's own clock.
ZoneUse useOf(const Fleet &fleet, const ZoneId &zone) {
  ZoneUse use;
  for (const ReplayVm &vm : fleet.Vms) {
    if (vm.Zone != zone || !vm.Up ||
        !holdsLease(vm.Own, clockOf(fleet, vm), fleet.Times))
      continue;
    use.Rate += usableRate(vm.Pending, vm.Doc, vm.Name, vm.life());
    std::vector<std::string> used;
    for (const auto &it : usableTargets(vm.Pending, vm.Doc, vm.Name, vm.life()))
      used.push_back(it.Value);
    for (int it : usablePartitions(vm.Pending, vm.Doc, vm.Name, vm.life()))
      used.push_back("partition-" + std::to_string(it));
    for (const std::string &it : used)
      use.Doubles += use.Users.emplace(it, vm.Name).second ? 0 : 1;
  }
  return use;
}

void checkUse(Watch &watch) {
  Fleet &fleet = watch.Fleets;
  for (const auto &[zone, doc] : fleet.Store) {
    ZoneUse use = useOf(fleet, zone);
    watch.DoubleUsers += use.Doubles;
    watch.RateOverruns += use.Rate > doc.RatePpm ? 1 : 0;
  }
}

bool hasPeer(const Fleet &fleet, const ReplayVm &vm) {
  return std::any_of(fleet.Vms.begin(), fleet.Vms.end(), [&](const auto &it) {
    return it.Zone == vm.Zone && it.Name != vm.Name && isRunning(fleet, it);
  });
}

/// A takeover has ended when the zone's resources are used by running VMs; the
/// map alone would not show a receiver that cannot use what it got.
bool isTakenOver(const Fleet &fleet, const ReplayVm &vm, const Outage &outage) {
  const ZoneDocument &doc = fleet.Store.at(vm.Zone);
  auto member = doc.Members.find(vm.Name);
  if (member != doc.Members.end() &&
      member->second.VmIncarnation == outage.Life)
    return false;
  ZoneUse use = useOf(fleet, vm.Zone);
  return use.Users.size() ==
         fleet.Targets.at(vm.Zone).size() + std::size_t{PartitionCount};
}

void followOutages(Watch &watch) {
  Fleet &fleet = watch.Fleets;
  for (ReplayVm &vm : fleet.Vms) {
    if (isRunning(fleet, vm) || vm.StartedAt == fleet.Time.Now ||
        !hasPeer(fleet, vm))
      continue;
    bool known = std::any_of(watch.Outages.begin(), watch.Outages.end(),
                             [&](const Outage &it) {
                               return it.Vm == vm.Name && it.Life == vm.life();
                             });
    if (!known)
      watch.Outages.push_back({vm.Name, vm.life(), fleet.Time.Now});
  }
  for (Outage &it : watch.Outages) {
    const ReplayVm &vm = vmOf(fleet, it.Vm);
    Duration lasted = fleet.Time.Now - it.Since;
    if (!it.Open)
      continue;
    if (isTakenOver(fleet, vm, it)) {
      it.Open = false;
      ++watch.Takeovers;
      fleet.Log.note(fleet.Time.Now, it.Vm.Value + " taken over");
      watch.LongestTakeover = std::max(watch.LongestTakeover, lasted);
    } else if (vm.life() == it.Life && isRunning(fleet, vm) &&
               lasted < fleet.Times.Granted) {
      // It went on before anyone could have taken it over.
      it.Open = false;
    }
  }
}

} // namespace

Figures replayOwnership(const Trace &trace, DecisionLog &log) {
  Fleet fleet(trace, log);
  Watch watch{fleet, {}};
  startFleet(fleet, trace);
  fleet.Time.every(CheckInterval, CheckInterval, [&watch] {
    checkUse(watch);
    followOutages(watch);
  });
  fleet.Time.runUntil(trace.Length);
  Figures figures;
  std::size_t unowned = 0;
  std::int64_t unusedRate = 0;
  for (const auto &[zone, doc] : fleet.Store) {
    ZoneUse use = useOf(fleet, zone);
    unowned += fleet.Targets[zone].size() + PartitionCount - use.Users.size();
    unusedRate += (doc.RatePpm - use.Rate).Value;
  }
  figures["double_users"] = static_cast<double>(watch.DoubleUsers);
  figures["rate_overruns"] = static_cast<double>(watch.RateOverruns);
  figures["takeovers"] = watch.Takeovers;
  figures["open_outages"] = static_cast<double>(
      std::count_if(watch.Outages.begin(), watch.Outages.end(),
                    [](const Outage &it) { return it.Open; }));
  figures["longest_takeover_ms"] =
      static_cast<double>(watch.LongestTakeover.count()) / 1000;
  figures["unowned_at_end"] = static_cast<double>(unowned);
  figures["unused_rate_ppm_at_end"] = static_cast<double>(unusedRate);
  return figures;
}

} // namespace savorylb::replay
