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
