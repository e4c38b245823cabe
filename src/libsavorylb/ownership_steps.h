#ifndef SAVORYLB_OWNERSHIP_STEPS_H
#define SAVORYLB_OWNERSHIP_STEPS_H

#include "savorylb/ownership.h"

namespace savorylb {

/// \returns a plan whose document is the current one with the next revision,
/// signed by this VM.
OwnershipPlan startPlan(const OwnershipView &view, OwnershipStep step);

/// \returns whether the document has a VM with that incarnation.
bool isMember(const ZoneDocument &doc, const VmId &vm, const Incarnation &life);

/// \returns whether a member is proved dead.
bool isProvedDead(const OwnershipView &view, const VmId &vm);

/// \returns members that may be given something: this VM and those that are
/// alive, not departing and not proved dead.
std::vector<VmId> receivers(const OwnershipView &view);

/// Removes an incarnation as successor of others. A member without a successor
/// keeps its resources until it names one itself, which is always safe.
void forgetSuccessor(ZoneDocument &doc, const VmId &vm);

/// Marks partitions as without a complete ledger from the document's revision.
void quarantine(ZoneDocument &doc, const std::vector<int> &partitions);

/// \returns Join, or None when this VM is a member or may not join yet.
OwnershipPlan planJoin(const OwnershipView &view, const LeaseGrants &grants,
                       MonoTime now, const LeaseTimes &times);
/// \returns TakeOver of one member, or None.
OwnershipPlan planTakeOver(const OwnershipView &view, const LeaseGrants &grants,
                           MonoTime now, const LeaseTimes &times);
/// \returns NameSuccessor, or None.
OwnershipPlan planSuccessor(const OwnershipView &view);
/// \returns Claim of what nobody owns, up to the fair share, or None.
OwnershipPlan planClaim(const OwnershipView &view);
/// \returns HandOff of one kind of resource to one member, or None.
OwnershipPlan planHandOff(const OwnershipView &view);
/// \returns Leave, or None while a silent member still has to be taken over.
OwnershipPlan planLeave(const OwnershipView &view, const LeaseGrants &grants,
                        MonoTime now, const LeaseTimes &times);

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_STEPS_H
