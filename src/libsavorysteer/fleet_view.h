#ifndef SAVORYLB_FLEET_VIEW_H
#define SAVORYLB_FLEET_VIEW_H

#include "rollout_stage.h"
#include "warmup_gate.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb {

/// A VM as it registers itself in the store.
struct VmEntry {
  VmId Vm;
  ZoneId Zone;
  RegionId Region;
  /// `ip:port` for callers' requests and for other VMs.
  std::string CallerAddress;
  std::string PeerAddress;
  std::string Start;
};

/// What a VM tells the others about once a second.
struct PeerReport {
  VmEntry Vm;
  bool Draining = false;
  /// Newest revision of the operators' documents that it knows.
  Revision Documents;
  /// Requests a second of each team that come to it.
  std::map<TeamId, double> Demand;
  /// Time since each rollout's order, and what the VM saw of it.
  struct Rollout {
    Revision Ordered;
    Duration Elapsed{0};
    bool Bad = false;
    RolloutEvidence Evidence;
  };
  std::map<ServiceId, Rollout> Rollouts;
};

/// One other VM.
struct PeerState {
  PeerReport Report;
  MonoTime HeardAt{};
};

/// What this VM knows of the fleet.
struct FleetView {
  VmEntry Self;
  bool SelfDraining = false;
  /// VMs with an entry in the store, without this one.
  std::map<VmId, VmEntry> Registered;
  std::map<VmId, PeerState> Peers;
  /// The store has answered lately.
  bool StoreReachable = false;
};

/// A VM that was heard within this time lives; three reports may be lost.
constexpr Duration HeardWithin = Millis(3200);
/// The demand of a VM that is no longer heard counts this long, because it may
/// still serve behind a partition.
constexpr Duration DemandHeldFor = Millis(10000);

/// \returns the VMs that live, with this one, as far as it knows.
std::vector<VmEntry> liveVms(const FleetView &view, MonoTime now);

/// \returns the addresses for callers of a zone: the zone's VMs, and those of
///          the region when the zone has fewer than two; all VMs otherwise.
std::vector<std::string> lookupAddresses(const FleetView &view,
                                         const ZoneId &zone,
                                         const RegionId &region, MonoTime now);

/// Orders the VMs of a region that may watch the store for the others. The
/// first one watches, the others follow it, so that the calls to the store do
/// not grow with the number of VMs.
/// \returns the VMs, this one among them unless it stops.
std::vector<VmEntry> readersOf(const FleetView &view, const RegionId &region,
                               MonoTime now);

/// \returns the demand of a team on the other VMs.
double peerDemand(const FleetView &view, const TeamId &team, MonoTime now);

/// \returns the evidence of the other VMs on a rollout.
RolloutEvidence peerEvidence(const FleetView &view, const ServiceId &service,
                             Revision ordered);

} // namespace savorylb

#endif // SAVORYLB_FLEET_VIEW_H
