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

/// Changes that were sent to the store and whose outcome is not known yet.
///
/// A write whose answer was lost can take effect until the document has moved
/// past the revision it was based on, so nothing released by it is used again
/// before that.
struct PendingChange {
  bool Active = false;
  /// Revision on which the writes were based.
  Revision Base;
  std::set<TargetId> Targets;
  std::set<int> Partitions;
  Ppm Rate;
};

/// Prepares a write; call it under the lock that guards use, before sending.
/// Stops the use of what the plan releases, stops grants to a VM that is taken
/// over, and requires a lease from a VM that is named successor (get it first
/// and call renewCandidate() in the same locked section). While undecided, the
/// lease is renewed with the successor and with every candidate.
/// \param pending the undecided changes.
/// \param grants leases granted to others.
/// \param lease this VM's lease.
/// \param plan what will be written.
/// \param doc the document on which the plan is based.
/// \param now the current time.
void beginChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                 const OwnershipPlan &plan, const ZoneDocument &doc,
                 MonoTime now);

/// Takes note of an adopted document, own or of others.
/// \param pending the undecided changes.
/// \param grants leases granted to others.
/// \param lease this VM's lease.
/// \param doc the newest document; its revision never goes back.
/// \param self this VM.
/// \param life its incarnation.
/// \returns true when no change is undecided any more.
bool settleChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                  const ZoneDocument &doc, const VmId &self,
                  const Incarnation &life);

/// \returns the owned targets that no undecided change gives away.
std::vector<TargetId> usableTargets(const PendingChange &pending,
                                    const ZoneDocument &doc, const VmId &self,
                                    const Incarnation &life);
/// \returns the owned partitions that no undecided change gives away.
std::vector<int> usablePartitions(const PendingChange &pending,
                                  const ZoneDocument &doc, const VmId &self,
                                  const Incarnation &life);
/// \returns the owned rate less what undecided changes give away.
Ppm usableRate(const PendingChange &pending, const ZoneDocument &doc,
               const VmId &self, const Incarnation &life);

} // namespace savorylb

#endif // SAVORYLB_PENDING_CHANGE_H
