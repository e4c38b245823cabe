#ifndef SAVORYLB_FLEET_VIEW_H
#define SAVORYLB_FLEET_VIEW_H

#include "rollout_stage.h"
#include "warmup_gate.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// The entry with which a VM registers itself in the store.
struct VmEntry {
  VmId Vm;
  ZoneId Zone;
  RegionId Region;
  /// `ip:port` for callers' requests.
  std::string CallerAddress;
  /// `ip:port` for messages from other VMs.
  std::string PeerAddress;
  /// Distinguishes the process starts of one VM.
  std::string StartId;
};

/// State that a VM sends to the other VMs about once a second.
struct PeerReport {
  VmEntry Vm;
  bool Draining = false;
  /// Newest revision of the operators' documents known to the VM.
  StorePosition DocumentsRevision;
  /// Version of the VM's configuration; 0 without one. It may be newer than the
  /// one in a store that came back from an older copy.
  std::int64_t ConfigVersion = 0;
  /// Requests per second of each team that arrive at the VM.
  std::map<TeamId, double> Demand;
  /// Shares of teams' limits that the VM holds.
  std::map<TeamId, double> Shares;
  /// Progress of one rollout as observed by the VM.
  struct Rollout {
    /// Revision of the rollout order.
    StorePosition OrderRevision;
    /// Time since the order.
    Duration Elapsed{0};
    /// The new version was judged bad.
    bool Bad = false;
    RolloutEvidence Evidence;
  };
  std::map<ServiceId, Rollout> Rollouts;
  /// The VM's wall clock, if the deployment reports usage.
  std::optional<WallTime> Wall;
};

/// The last report of another VM.
struct PeerState {
  PeerReport Report;
  MonoTime ReceivedAt{};
};

/// This VM's view of all VMs.
struct FleetView {
  VmEntry Self;
  bool SelfDraining = false;
  /// Other VMs with an entry in the store.
  std::map<VmId, VmEntry> Registered;
  std::map<VmId, PeerState> Peers;
  /// The store answered recently.
  bool StoreReachable = false;
  /// The entries of the other VMs were listed after this VM registered. Before
  /// that, VMs that started together with it may be missing.
  bool Complete = false;
};

/// How long a VM counts as live after its last report if it is not registered
/// or the store is unreachable. A registered VM that has not reported since its
/// start counts as live. Covers the loss of three reports.
constexpr Duration PeerTimeout = Millis(3200);
/// How long the demand of a VM that stopped reporting still counts. The VM may
/// be serving on the other side of a network partition.
constexpr Duration DemandRetention = Millis(10000);

/// \returns the live VMs that are not draining, including this one.
std::vector<VmEntry> liveVms(const FleetView &view, MonoTime now);

/// \returns the addresses to return for callers in a zone: the zone's VMs; the
///          region's VMs if the zone has fewer than two; all VMs if the region
///          has none.
std::vector<std::string> lookupAddresses(const FleetView &view,
                                         const ZoneId &zone,
                                         const RegionId &region, MonoTime now);

/// Orders the VMs of a region by their precedence as store watcher. The first
/// VM watches the store and the others follow it, so that the number of store
/// calls does not grow with the number of VMs.
/// \returns the VMs, including this one unless it is draining.
std::vector<VmEntry> storeWatchers(const FleetView &view,
                                   const RegionId &region, MonoTime now);

/// \param peerAddress address for messages from other VMs.
/// \returns whether it belongs to a registered VM in another zone.
bool isInOtherZone(const FleetView &view, const std::string &peerAddress);

/// \returns the requests per second of a team at the other VMs.
double peerDemand(const FleetView &view, const TeamId &team, MonoTime now);

/// \param orderRevision revision of the rollout order.
/// \returns the evidence on a rollout that the other VMs reported.
RolloutEvidence peerEvidence(const FleetView &view, const ServiceId &service,
                             StorePosition orderRevision);

} // namespace savorylb

#endif // SAVORYLB_FLEET_VIEW_H
