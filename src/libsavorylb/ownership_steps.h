#ifndef SAVORYLB_OWNERSHIP_STEPS_H
#define SAVORYLB_OWNERSHIP_STEPS_H

#include "savorylb/ownership.h"

namespace savorylb {

/// \returns a plan whose document is a copy of the current one with the next
/// revision and this VM as its writer.
OwnershipPlan startPlan(const OwnershipView &view, OwnershipStep step);

/// \returns whether the incarnation of the VM is a member in the document.
bool isMember(const ZoneDocument &doc, const VmId &vm,
              const Incarnation &incarnation);

/// \returns whether the VM is a member whose incarnation is proved dead.
bool isProvedDead(const OwnershipView &view, const VmId &vm);

/// \returns the members that may receive resources: this VM unless it is
/// leaving, and those that are alive, not departing and not proved dead.
std::vector<VmId> eligibleReceivers(const OwnershipView &view);

/// Removes a VM as the successor of other members. This is always safe: a
/// member without a successor keeps its resources until it names one itself.
void clearSuccessor(ZoneDocument &doc, const VmId &vm);

/// Marks partitions as having an incomplete ledger since the document's
/// revision.
void markQuarantined(ZoneDocument &doc, const std::vector<int> &partitions);

/// \returns Join, or None when this VM is a member or may not join yet.
OwnershipPlan planJoin(const OwnershipView &view, const LeaseGrants &grants,
                       MonoTime now, const LeaseTimes &times);
/// \returns TakeOver of one member, or None.
OwnershipPlan planTakeOver(const OwnershipView &view, const LeaseGrants &grants,
                           MonoTime now, const LeaseTimes &times);
/// \returns NameSuccessor, or None.
OwnershipPlan planSuccessor(const OwnershipView &view);
/// \returns Claim of unowned resources up to the fair share, which also records
/// the end of quarantines of this VM's partitions, or None.
OwnershipPlan planClaim(const OwnershipView &view);
/// \returns HandOff that gives up one kind of resource, or None. The resource
/// goes to one member, or to none when targets are no longer configured or the
/// zone's rate was lowered.
OwnershipPlan planHandOff(const OwnershipView &view);
/// \returns Leave, or None while this VM must still take over a silent member.
OwnershipPlan planLeave(const OwnershipView &view, const LeaseGrants &grants,
                        MonoTime now, const LeaseTimes &times);

} // namespace savorylb

#endif // SAVORYLB_OWNERSHIP_STEPS_H
