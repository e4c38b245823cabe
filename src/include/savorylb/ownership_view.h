#ifndef SAVORYLB_OWNERSHIP_VIEW_H
#define SAVORYLB_OWNERSHIP_VIEW_H

#include "savorylb/ids.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <map>
#include <set>
#include <string>
#include <utility>

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

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_VIEW_H
