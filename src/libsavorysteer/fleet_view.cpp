#include "fleet_view.h"

#include "savorylb/hash.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Addresses in one lookup answer at most.
constexpr std::size_t MaxAddresses = 64;
/// A zone with fewer VMs gets those of its region too, so that the loss of one
/// leaves its callers another.
constexpr std::size_t EnoughInZone = 2;

} // namespace

std::vector<VmEntry> liveVms(const FleetView &view, MonoTime now) {
  std::vector<VmEntry> live;
  if (!view.SelfDraining)
    live.push_back(view.Self);
  std::map<VmId, VmEntry> others;
  for (const auto &[vm, peer] : view.Peers)
    if (now - peer.HeardAt <= HeardWithin && !peer.Report.Draining)
      others[vm] = peer.Report.Vm;
  for (const auto &[vm, entry] : view.Registered) {
    auto it = view.Peers.find(vm);
    bool known =
        it != view.Peers.end() && it->second.Report.Vm.Start == entry.Start;
    if (known && it->second.Report.Draining)
      continue;
    // Entries are as old as the last answer of the store; without it only
    // what was heard counts.
    if (!view.StoreReachable && known && now - it->second.HeardAt > HeardWithin)
      continue;
    others[vm] = entry;
  }
  for (const auto &[vm, entry] : others)
    live.push_back(entry);
  return live;
}

std::vector<std::string> lookupAddresses(const FleetView &view,
                                         const ZoneId &zone,
                                         const RegionId &region, MonoTime now) {
  std::vector<std::string> inZone;
  std::vector<std::string> inRegion;
  std::vector<std::string> all;
  for (const VmEntry &it : liveVms(view, now)) {
    all.push_back(it.CallerAddress);
    if (it.Zone == zone)
      inZone.push_back(it.CallerAddress);
    if (it.Region == region)
      inRegion.push_back(it.CallerAddress);
  }
  std::vector<std::string> found = inZone.size() >= EnoughInZone ? inZone
                                   : !inRegion.empty()           ? inRegion
                                                                 : all;
  if (found.empty())
    found.push_back(view.Self.CallerAddress);
  if (found.size() > MaxAddresses)
    found.resize(MaxAddresses);
  return found;
}

std::vector<VmEntry> readersOf(const FleetView &view, const RegionId &region,
                               MonoTime now) {
  std::vector<std::pair<std::uint64_t, VmEntry>> order;
  auto add = [&](const VmEntry &it) {
    order.emplace_back(stableHash(it.Vm.Value), it);
  };
  if (!view.SelfDraining)
    add(view.Self);
  for (const VmEntry &it : liveVms(view, now))
    if (it.Region == region && it.Vm != view.Self.Vm)
      add(it);
  std::sort(order.begin(), order.end(),
            [](const auto &a, const auto &b) { return a.first > b.first; });
  std::vector<VmEntry> vms;
  vms.reserve(order.size());
  for (const auto &[hash, it] : order)
    vms.push_back(it);
  return vms;
}

double peerDemand(const FleetView &view, const TeamId &team, MonoTime now) {
  double sum = 0;
  for (const auto &[vm, peer] : view.Peers) {
    if (now - peer.HeardAt > DemandHeldFor)
      continue;
    auto it = peer.Report.Demand.find(team);
    if (it != peer.Report.Demand.end())
      sum += it->second;
  }
  return sum;
}

RolloutEvidence peerEvidence(const FleetView &view, const ServiceId &service,
                             Revision ordered) {
  RolloutEvidence sum;
  for (const auto &[vm, peer] : view.Peers) {
    auto it = peer.Report.Rollouts.find(service);
    if (it != peer.Report.Rollouts.end() && it->second.Ordered == ordered)
      addEvidence(sum, it->second.Evidence);
  }
  return sum;
}

} // namespace savorylb
