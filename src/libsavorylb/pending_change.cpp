#include "savorylb/pending_change.h"

#include <algorithm>

namespace savorylb {

void beginChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                 const OwnershipPlan &plan, const ZoneDocument &doc,
                 MonoTime now) {
  if (plan.Step == OwnershipStep::None)
    return;
  if (!pending.Active)
    pending = PendingChange{};
  pending.Active = true;
  pending.BaseRevision = std::max(pending.BaseRevision, doc.Rev);
  pending.Targets.insert(plan.ReleasedTargets.begin(),
                         plan.ReleasedTargets.end());
  pending.Partitions.insert(plan.ReleasedPartitions.begin(),
                            plan.ReleasedPartitions.end());
  // At most one of several writes based on the same revision takes effect.
  pending.RateShare = std::max(pending.RateShare, plan.ReleasedRateShare);
  if (plan.Step == OwnershipStep::TakeOver)
    beginTakeover(grants, plan.AffectedVm,
                  doc.Members.at(plan.AffectedVm).VmIncarnation, now);
  if (plan.Step == OwnershipStep::NameSuccessor)
    addCandidate(lease, plan.AffectedVm,
                 plan.Next.Members.at(plan.AffectedVm).VmIncarnation);
}

bool resolveChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                   const ZoneDocument &doc, const VmId &self,
                   const Incarnation &incarnation) {
  if (pending.Active && doc.Rev <= pending.BaseRevision)
    return false;
  pending = PendingChange{};
  // A VM that is still a member now was not taken over, or has joined again and
  // knows that it lost its resources. A VM that is not a member gets no lease,
  // because it may still act on an old document.
  for (auto it = grants.TakingOver.begin(); it != grants.TakingOver.end();) {
    auto member = doc.Members.find(it->first.first);
    bool present = member != doc.Members.end() &&
                   member->second.VmIncarnation == it->first.second;
    it = present ? grants.TakingOver.erase(it) : std::next(it);
  }
  auto own = doc.Members.find(self);
  if (own != doc.Members.end() && own->second.VmIncarnation == incarnation)
    adoptSuccessor(lease, own->second.Successor,
                   own->second.SuccessorIncarnation);
  else
    lease.Lost = true;
  return true;
}

std::vector<TargetId> usableTargets(const PendingChange &pending,
                                    const ZoneDocument &doc, const VmId &self,
                                    const Incarnation &incarnation) {
  auto out = ownedTargets(doc, self, incarnation);
  out.erase(std::remove_if(out.begin(), out.end(),
                           [&](const TargetId &it) {
                             return pending.Targets.count(it) != 0;
                           }),
            out.end());
  return out;
}

std::vector<int> usablePartitions(const PendingChange &pending,
                                  const ZoneDocument &doc, const VmId &self,
                                  const Incarnation &incarnation) {
  auto out = ownedPartitions(doc, self, incarnation);
  out.erase(
      std::remove_if(out.begin(), out.end(),
                     [&](int it) { return pending.Partitions.count(it) != 0; }),
      out.end());
  return out;
}

Ppm usableRateShare(const PendingChange &pending, const ZoneDocument &doc,
                    const VmId &self, const Incarnation &incarnation) {
  return std::max(Ppm(0),
                  ownedRateShare(doc, self, incarnation) - pending.RateShare);
}

} // namespace savorylb
