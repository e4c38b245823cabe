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
  pending.Base = std::max(pending.Base, doc.Rev);
  pending.Targets.insert(plan.ReleasedTargets.begin(),
                         plan.ReleasedTargets.end());
  pending.Partitions.insert(plan.ReleasedPartitions.begin(),
                            plan.ReleasedPartitions.end());
  // Of several writes on one revision at most one takes effect.
  pending.Rate = std::max(pending.Rate, plan.ReleasedRate);
  if (plan.Step == OwnershipStep::TakeOver)
    beginTakeover(grants, plan.Other, doc.Members.at(plan.Other).Life, now);
  if (plan.Step == OwnershipStep::NameSuccessor)
    addCandidate(lease, plan.Other, plan.Next.Members.at(plan.Other).Life);
}

bool settleChange(PendingChange &pending, LeaseGrants &grants, Lease &lease,
                  const ZoneDocument &doc, const VmId &self,
                  const Incarnation &life) {
  if (pending.Active && doc.Rev <= pending.Base)
    return false;
  pending = PendingChange{};
  // A VM that is a member after the write was decided was not taken over, or
  // has joined again and knows that it lost everything. One that is no member
  // gets no lease: it may still act on an old document.
  for (auto it = grants.TakingOver.begin(); it != grants.TakingOver.end();) {
    auto member = doc.Members.find(it->first.first);
    bool present =
        member != doc.Members.end() && member->second.Life == it->first.second;
    it = present ? grants.TakingOver.erase(it) : std::next(it);
  }
  auto own = doc.Members.find(self);
  if (own != doc.Members.end() && own->second.Life == life)
    adoptSuccessor(lease, own->second.Successor, own->second.SuccessorLife);
  else
    lease.Lost = true;
  return true;
}

std::vector<TargetId> usableTargets(const PendingChange &pending,
                                    const ZoneDocument &doc, const VmId &self,
                                    const Incarnation &life) {
  auto out = ownedTargets(doc, self, life);
  out.erase(std::remove_if(out.begin(), out.end(),
                           [&](const TargetId &it) {
                             return pending.Targets.count(it) != 0;
                           }),
            out.end());
  return out;
}

std::vector<int> usablePartitions(const PendingChange &pending,
                                  const ZoneDocument &doc, const VmId &self,
                                  const Incarnation &life) {
  auto out = ownedPartitions(doc, self, life);
  out.erase(
      std::remove_if(out.begin(), out.end(),
                     [&](int it) { return pending.Partitions.count(it) != 0; }),
      out.end());
  return out;
}

Ppm usableRate(const PendingChange &pending, const ZoneDocument &doc,
               const VmId &self, const Incarnation &life) {
  return std::max(Ppm(0), ownedRate(doc, self, life) - pending.Rate);
}

} // namespace savorylb
