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

/// The state on which this VM bases its decision about the owner map.
struct OwnershipView {
  VmId Self;
  Incarnation SelfIncarnation;
  std::string PeerEndpoint;
  std::string CallerEndpoint;
  ZoneDocument Doc;
  /// Targets configured for this zone.
  std::set<TargetId> ConfiguredTargets;
  /// VMs and their incarnations that are proved dead.
  std::set<std::pair<VmId, Incarnation>> ProvedDead;
  /// Members that are alive according to their heartbeats.
  std::set<VmId> Alive;
  /// Members that announced their departure; they receive no resources.
  std::set<VmId> Departing;
  /// This VM is shutting down as planned and hands off all its resources.
  bool Leaving = false;
  /// VMs whose ledgers are completely replicated on this VM.
  std::set<VmId> CompleteReplicas;
  /// Partitions of this VM that have been quarantined on it for the retention
  /// time.
  std::set<int> QuarantineEnded;
  /// When each incarnation was first proved dead. Shortly after that, other
  /// members leave the takeover to the successor, which has the replica of the
  /// ledger.
  std::map<std::pair<VmId, Incarnation>, MonoTime> ProvedDeadAt;
};

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_VIEW_H
