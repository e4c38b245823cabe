#include "ownership_steps.h"

namespace savorylb {
namespace {

/// Whether the successor of the dead entry may still save the ledger: it has
/// the replica, this new process has nothing.
bool successorMaySave(const OwnershipView &view, const ZoneMember &dead) {
  return !ownedPartitions(view.Doc, view.Self, dead.Life).empty() &&
         isMember(view.Doc, dead.Successor, dead.SuccessorLife) &&
         view.Alive.count(dead.Successor) != 0 &&
         !isProvedDead(view, dead.Successor);
}

} // namespace

OwnershipPlan planJoin(const OwnershipView &view, const LeaseGrants &grants,
                       MonoTime now, const LeaseTimes &times) {
  OwnershipPlan none;
  if (view.Leaving)
    return none;
  // The successor is named by a later change, after it has granted a lease.
  ZoneMember own;
  own.Life = view.Life;
  own.PeerEndpoint = view.PeerEndpoint;
  own.CallerEndpoint = view.CallerEndpoint;
  auto it = view.Doc.Members.find(view.Self);
  if (it == view.Doc.Members.end()) {
    OwnershipPlan plan = startPlan(view, OwnershipStep::Join);
    plan.Reason = "not a member";
    if (view.Doc.Rev == Revision(0)) {
      // Nothing of a new zone ever had an owner, so no ledger can be missing.
      own.RatePpm = view.Doc.RatePpm;
      for (const auto &target : view.ConfiguredTargets)
        plan.Next.Targets[target] = view.Self;
      plan.Next.Partitions.assign(PartitionCount, view.Self);
      plan.Reason = "first member of a new zone";
    }
    plan.Next.Members[view.Self] = own;
    return plan;
  }
  // The endpoint can only be bound by one process, so an earlier incarnation
  // with the same endpoint has ended.
  const ZoneMember &dead = it->second;
  if (dead.PeerEndpoint != view.PeerEndpoint &&
      !isProvedDead(view, view.Self)) {
    none.Reason = "an earlier incarnation elsewhere is not proved dead";
    return none;
  }
  if (now < grants.StartedAt + times.Granted && successorMaySave(view, dead)) {
    none.Reason = "the successor has the ledger of the earlier incarnation";
    return none;
  }
  OwnershipPlan plan = startPlan(view, OwnershipStep::Join);
  plan.Reason = "replaces its earlier incarnation";
  quarantine(plan.Next, ownedPartitions(view.Doc, view.Self, dead.Life));
  forgetSuccessor(plan.Next, view.Self);
  own.RatePpm = dead.RatePpm;
  plan.Next.Members[view.Self] = own;
  return plan;
}

OwnershipPlan planSuccessor(const OwnershipView &view) {
  std::set<VmId> excluded;
  for (const auto &it : view.Doc.Members)
    excluded.insert(it.first);
  for (const auto &it : receivers(view))
    excluded.erase(it);
  const ZoneMember &own = view.Doc.Members.at(view.Self);
  VmId want = ringSuccessor(view.Doc, view.Self, excluded);
  // With nobody else alive the named successor stays: it may be this VM that
  // is cut off, and then the other must be able to take over.
  if (want.empty() || (want == own.Successor &&
                       view.Doc.Members.at(want).Life == own.SuccessorLife))
    return {};
  OwnershipPlan plan = startPlan(view, OwnershipStep::NameSuccessor);
  plan.Other = want;
  plan.Reason = own.Successor.empty() ? "no successor named"
                                      : "the ring names another successor";
  ZoneMember &next = plan.Next.Members[view.Self];
  next.Successor = want;
  next.SuccessorLife = plan.Next.Members.at(want).Life;
  return plan;
}

} // namespace savorylb
