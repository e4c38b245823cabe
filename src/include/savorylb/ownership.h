#ifndef SAVORYLB_OWNERSHIP_H
#define SAVORYLB_OWNERSHIP_H

#include "savorylb/ids.h"
#include "savorylb/lease_grants.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savorylb {

/// What this VM knows when it decides on a change of the owner map.
struct OwnershipView {
  VmId Self;
  Incarnation Life;
  std::string PeerEndpoint;
  std::string CallerEndpoint;
  ZoneDocument Doc;
  /// Targets that the configuration lists for this zone.
  std::set<TargetId> ConfiguredTargets;
  /// Incarnations proved dead, by VM.
  std::set<std::pair<VmId, Incarnation>> ProvedDead;
  /// Members that are alive as far as heartbeats tell.
  std::set<VmId> Alive;
  /// Members that said they are departing; nothing is handed to them.
  std::set<VmId> Departing;
  /// This VM is in a planned stop and hands everything off.
  bool Leaving = false;
  /// Replicas of these VMs' ledgers are complete here.
  std::set<VmId> CompleteReplicas;
  /// Own partitions whose quarantine has lasted the retention time here.
  std::set<int> QuarantineOver;
  /// When proof of death was first had. While it is fresh, other members leave
  /// the takeover to the successor, which has the replica of the ledger.
  std::map<std::pair<VmId, Incarnation>, MonoTime> ProvedDeadAt;
};

/// Kinds of change of the owner map. Before NameSuccessor is written,
/// OwnershipPlan::Other must have granted a lease; see beginChange().
enum class OwnershipStep {
  None,
  Join,
  NameSuccessor,
  TakeOver,
  Claim,
  HandOff,
  Leave,
};

/// A change that this VM wants to write by compare-and-swap.
struct OwnershipPlan {
  OwnershipStep Step = OwnershipStep::None;
  ZoneDocument Next;
  /// VM that gains or loses by the change.
  VmId Other;
  /// Resources to stop using before the write.
  std::vector<TargetId> ReleasedTargets;
  std::vector<int> ReleasedPartitions;
  Ppm ReleasedRate;
  std::string Reason;
};

/// Decides on the next change of the owner map, at most one at a time.
///
/// Order: join, take over, name the successor, claim, hand off, leave.
/// \param view what this VM knows.
/// \param grants leases granted to others.
/// \param now the current time.
/// \param times the limits.
/// \returns the change; Step is None when nothing is to be done.
OwnershipPlan planOwnership(const OwnershipView &view,
                            const LeaseGrants &grants, MonoTime now,
                            const LeaseTimes &times);

/// \returns the successor that the ring of live members gives a VM, empty
/// when it is alone.
VmId ringSuccessor(const ZoneDocument &doc, const VmId &vm,
                   const std::set<VmId> &excluded);

/// \returns the targets that the document gives to a VM's incarnation.
std::vector<TargetId> ownedTargets(const ZoneDocument &doc, const VmId &vm,
                                   const Incarnation &life);
/// \returns the partitions that the document gives to a VM's incarnation.
std::vector<int> ownedPartitions(const ZoneDocument &doc, const VmId &vm,
                                 const Incarnation &life);
/// \returns the part of the rates that the document gives to an incarnation.
Ppm ownedRate(const ZoneDocument &doc, const VmId &vm, const Incarnation &life);

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_H
