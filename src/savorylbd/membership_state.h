#ifndef SAVORYLB_SAVORYLBD_MEMBERSHIP_STATE_H
#define SAVORYLB_SAVORYLBD_MEMBERSHIP_STATE_H

#include "savorylb/lease.h"
#include "savorylb/lease_grants.h"
#include "savorylb/ownership.h"
#include "savorylb/pending_change.h"
#include "savorylb/zone_document.h"

#include <map>
#include <mutex>
#include <utility>

namespace savorylb {

struct Daemon;

/// This VM's place in its zone: owner map, own lease, leases granted.
struct MembershipState {
  std::mutex Lock;
  LeaseTimes Times;
  Lease Own;
  LeaseGrants Grants;
  ZoneDocument Doc;
  std::uint64_t DocIndex = 0;
  /// The document names this incarnation as a member.
  bool Member = false;
  bool WasLicensed = false;
  /// Incarnations proved dead, and when that was first known.
  std::map<std::pair<VmId, Incarnation>, MonoTime> ProvedDeadAt;
  /// Writes of the owner map whose outcome is not known; nothing that they
  /// give away is used in the meantime.
  PendingChange Pending;
};

/// \returns true when this VM may use what it owns.
bool mayUseOwned(Daemon &daemon);

/// \returns true when this VM is home of a partition of its own zone now.
bool isHomeOf(Daemon &daemon, int partition);

/// Adopts a newer owner map of the own zone: targets, partitions and rates
/// follow from it.
/// \param daemon the daemon.
/// \param doc the newer map.
/// \param storeIndex its modify index.
void applyZoneDocument(Daemon &daemon, const ZoneDocument &doc,
                       std::uint64_t storeIndex);

/// Brings slots and buckets in line with the owner map and configuration.
void applyOwnership(Daemon &daemon);

/// Answers a holder's request for a lease.
bool handleRenew(Daemon &daemon, const VmId &holder, const Incarnation &life,
                 const Incarnation &successorLife);

/// Decides on the next change of the owner map and writes it.
void runOwnershipStep(Daemon &daemon);

/// Hands everything off at the end of a planned stop.
/// \returns true when nothing is owned any more.
bool leaveZone(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_MEMBERSHIP_STATE_H
