#ifndef SAVORYLB_PENDING_CHANGE_H
#define SAVORYLB_PENDING_CHANGE_H

#include "savorylb/ids.h"
#include "savorylb/lease.h"
#include "savorylb/lease_grants.h"
#include "savorylb/ownership.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <set>
#include <vector>

namespace savorylb {

/// Writes of the owner map that were sent to the store and whose outcome is not
/// known yet.
///
/// A write whose response was lost can still take effect until the document has
/// a higher revision than the one that the write was based on. Until then, the
/// resources that the write releases must not be used.
struct PendingChange {
  bool Active = false;
  /// Highest revision on which one of the writes was based.
  Revision BaseRevision;
  std::set<TargetId> Targets;
  std::set<int> Partitions;
  Ppm RateShare;
};

/// Prepares a write; call it before sending, under the lock that guards the use
/// of resources.
///
/// Stops the use of resources that the plan releases and the granting of leases
/// to a VM that is taken over. Requires a lease from a VM that is named
/// successor: obtain it first and call renewCandidate() in the same critical
/// section. Until the outcome is known, the lease is renewed with the successor
/// and with every candidate.
/// \param grants leases that this VM granted to others.
/// \param doc the document on which the plan is based.
void beginChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                 const OwnershipPlan &plan, const ZoneDocument &doc,
                 MonoTime now);

/// Updates the pending changes, the grants and the lease for an adopted
/// document, whoever wrote it.
/// \param grants leases that this VM granted to others.
/// \param doc the newest document; its revision never decreases.
/// \returns true when the outcome of every change is known.
bool resolveChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                   const ZoneDocument &doc, const VmId &self,
                   const Incarnation &incarnation);

/// \returns the owned targets that no pending change releases.
std::vector<TargetId> usableTargets(const PendingChange &pending,
                                    const ZoneDocument &doc, const VmId &self,
                                    const Incarnation &incarnation);
/// \returns the owned partitions that no pending change releases.
std::vector<int> usablePartitions(const PendingChange &pending,
                                  const ZoneDocument &doc, const VmId &self,
                                  const Incarnation &incarnation);
/// \returns the owned share of the fleet's rates less the share that pending
/// changes release.
Ppm usableRateShare(const PendingChange &pending, const ZoneDocument &doc,
                    const VmId &self, const Incarnation &incarnation);

} // namespace savorylb

#endif // SAVORYLB_PENDING_CHANGE_H
