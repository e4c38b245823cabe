#include "fleet_view.h"

#include "savorylb/hash.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Maximum number of addresses in a lookup response.
constexpr std::size_t MaxAddresses = 64;
/// Callers in a zone with fewer VMs get the VMs of the region, so that another
/// VM remains when one fails.
constexpr std::size_t MinZoneVms = 2;

} // namespace

std::vector<VmEntry> liveVms(const FleetView &view, MonoTime now) {
  std::vector<VmEntry> live;
  if (!view.SelfDraining)
    live.push_back(view.Self);
  std::map<VmId, VmEntry> others;
  for (const auto &[vm, peer] : view.Peers)
    if (now - peer.ReceivedAt <= PeerTimeout && !peer.Report.Draining)
      others[vm] = peer.Report.Vm;
  for (const auto &[vm, entry] : view.Registered) {
    auto it = view.Peers.find(vm);
    bool known =
        it != view.Peers.end() && it->second.Report.Vm.StartId == entry.StartId;
    if (known && it->second.Report.Draining)
      continue;
    // Entries are only as recent as the last response of the store. While the
    // store is unreachable, a known VM counts as live only by its reports.
    if (!view.StoreReachable && known &&
        now - it->second.ReceivedAt > PeerTimeout)
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
  std::vector<std::string> found = inZone.size() >= MinZoneVms ? inZone
                                   : !inRegion.empty()         ? inRegion
                                                               : all;
  if (found.empty())
    found.push_back(view.Self.CallerAddress);
  if (found.size() > MaxAddresses)
    found.resize(MaxAddresses);
  return found;
}

std::vector<VmEntry> storeWatchers(const FleetView &view,
                                   const RegionId &region, MonoTime now) {
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

bool isInOtherZone(const FleetView &view, const std::string &peerAddress) {
  auto it = std::find_if(
      view.Registered.begin(), view.Registered.end(),
      [&](const auto &vm) { return vm.second.PeerAddress == peerAddress; });
  return it != view.Registered.end() && it->second.Zone != view.Self.Zone;
}

double peerDemand(const FleetView &view, const TeamId &team, MonoTime now) {
  double sum = 0;
  for (const auto &[vm, peer] : view.Peers) {
    if (now - peer.ReceivedAt > DemandRetention)
      continue;
    auto it = peer.Report.Demand.find(team);
    if (it != peer.Report.Demand.end())
      sum += it->second;
  }
  return sum;
}

RolloutEvidence peerEvidence(const FleetView &view, const ServiceId &service,
                             StorePosition orderRevision) {
  RolloutEvidence sum;
  for (const auto &[vm, peer] : view.Peers) {
    auto it = peer.Report.Rollouts.find(service);
    if (it != peer.Report.Rollouts.end() &&
        it->second.OrderRevision == orderRevision)
      addEvidence(sum, it->second.Evidence);
  }
  return sum;
}

} // namespace savorylb
