#ifndef SAVORYLB_OWNERSHIP_H
#define SAVORYLB_OWNERSHIP_H

#include "savorylb/ids.h"
#include "savorylb/lease_grants.h"
#include "savorylb/ownership_plan.h"
#include "savorylb/ownership_step.h"
#include "savorylb/ownership_view.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <set>
#include <vector>

namespace savorylb {

/// Plans the next change of the owner map, at most one at a time.
///
/// A VM that is no member joins. Otherwise, a due takeover of a member has
/// priority; then a stopping VM leaves, and any other VM names its successor,
/// claims unowned resources or hands off excess ones, in this order.
/// \param grants leases that this VM granted to others.
/// \returns the change; Step is None when there is nothing to do.
OwnershipPlan planOwnership(const OwnershipView &view,
                            const LeaseGrants &grants, MonoTime now,
                            const LeaseTimes &times);

/// \returns the next member after a VM in the ring that the members form in the
/// order of their names, skipping excluded ones; empty when there is none.
VmId ringSuccessor(const ZoneDocument &doc, const VmId &vm,
                   const std::set<VmId> &excluded);

/// \returns the targets that the document assigns to an incarnation of a VM.
std::vector<TargetId> ownedTargets(const ZoneDocument &doc, const VmId &vm,
                                   const Incarnation &incarnation);
/// \returns the ledger partitions that the document assigns to an incarnation
/// of a VM.
std::vector<int> ownedPartitions(const ZoneDocument &doc, const VmId &vm,
                                 const Incarnation &incarnation);
/// \returns the share of the rates that the document assigns to an incarnation
/// of a VM.
Ppm ownedRateShare(const ZoneDocument &doc, const VmId &vm,
                   const Incarnation &incarnation);

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_H
