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

/// Membership of this VM in its zone: the owner map, its lease, and the leases
/// that it granted.
struct MembershipState {
  std::mutex Lock;
  LeaseTimes Times;
  Lease OwnLease;
  LeaseGrants Grants;
  ZoneDocument Doc;
  std::uint64_t DocStoreIndex = 0;
  /// The owner map lists this incarnation as a member.
  bool IsMember = false;
  /// Whether the lease was held at the last control tick.
  bool HadLease = false;
  /// Incarnations that are proved dead, and when each proof first arrived.
  std::map<std::pair<VmId, Incarnation>, MonoTime> ProvedDeadAt;
  /// Writes of the owner map whose outcome is not known; resources that they
  /// release are not used in the meantime.
  PendingChange Pending;
};

/// \returns true when this VM is a member of its zone and holds its lease.
bool mayUseOwnedResources(Daemon &daemon);

/// \returns true when this VM is the home VM of a partition of its own zone
/// now.
bool isHomeOf(Daemon &daemon, int partition);

/// Adopts a newer owner map of the own zone and updates targets, partitions and
/// rates accordingly.
/// \param storeIndex its modify index, 0 when it did not come from the store.
void applyZoneDocument(Daemon &daemon, const ZoneDocument &doc,
                       std::uint64_t storeIndex);

/// Updates slots, token buckets and links for the owner map and configuration.
void applyOwnership(Daemon &daemon);

/// Handles a holder's request for a lease.
/// \param successorIncarnation the incarnation of this VM that the holder
/// expects.
/// \returns true when the lease is granted.
bool handleRenew(Daemon &daemon, const VmId &holder,
                 const Incarnation &incarnation,
                 const Incarnation &successorIncarnation);

/// Plans the next change of the owner map and writes it to the store.
void runOwnershipStep(Daemon &daemon);

/// Hands off all resources at the end of a drain; call it until it
/// returns true.
/// \returns true when this VM is no member of its zone any more.
bool leaveZone(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_MEMBERSHIP_STATE_H
