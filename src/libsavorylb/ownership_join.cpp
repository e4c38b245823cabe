#include "ownership_steps.h"

namespace savorylb {
namespace {

/// \returns whether the successor of the previous incarnation can still
/// preserve the ledger by a takeover: it has the replica, this new process has
/// none.
bool successorMayTakeOver(const OwnershipView &view,
                          const ZoneMember &previous) {
  return !ownedPartitions(view.Doc, view.Self, previous.VmIncarnation)
              .empty() &&
         isMember(view.Doc, previous.Successor,
                  previous.SuccessorIncarnation) &&
         view.Alive.count(previous.Successor) != 0 &&
         !isProvedDead(view, previous.Successor);
}

} // namespace

OwnershipPlan planJoin(const OwnershipView &view, const LeaseGrants &grants,
                       MonoTime now, const LeaseTimes &times) {
  OwnershipPlan none;
  if (view.Leaving)
    return none;
  // The successor is named in a later change, after it has granted a lease.
  ZoneMember own;
  own.VmIncarnation = view.SelfIncarnation;
  own.PeerEndpoint = view.PeerEndpoint;
  own.CallerEndpoint = view.CallerEndpoint;
  auto it = view.Doc.Members.find(view.Self);
  if (it == view.Doc.Members.end()) {
    OwnershipPlan plan = startPlan(view, OwnershipStep::Join);
    plan.Reason = "not a member";
    if (view.Doc.Rev == Revision(0)) {
      // Nothing in a new zone ever had an owner, so no ledger can be missing.
      own.RateShare = view.Doc.RateShare;
      for (const auto &target : view.ConfiguredTargets)
        plan.Next.Targets[target] = view.Self;
      plan.Next.Partitions.assign(PartitionCount, view.Self);
      plan.Reason = "first member of a new zone";
    }
    plan.Next.Members[view.Self] = own;
    return plan;
  }
  // Only one process can bind the endpoint, so an earlier incarnation with the
  // same endpoint has ended.
  const ZoneMember &previous = it->second;
  if (previous.PeerEndpoint != view.PeerEndpoint &&
      !isProvedDead(view, view.Self)) {
    none.Reason =
        "an earlier incarnation at another endpoint is not proved dead";
    return none;
  }
  if (now < grants.GraceStartedAt + times.Granted &&
      successorMayTakeOver(view, previous)) {
    none.Reason = "the successor has the ledger of the earlier incarnation";
    return none;
  }
  OwnershipPlan plan = startPlan(view, OwnershipStep::Join);
  plan.Reason = "replaces its earlier incarnation";
  markQuarantined(plan.Next,
                  ownedPartitions(view.Doc, view.Self, previous.VmIncarnation));
  clearSuccessor(plan.Next, view.Self);
  own.RateShare = previous.RateShare;
  plan.Next.Members[view.Self] = own;
  return plan;
}

OwnershipPlan planSuccessor(const OwnershipView &view) {
  std::set<VmId> excluded;
  for (const auto &it : view.Doc.Members)
    excluded.insert(it.first);
  for (const auto &it : eligibleReceivers(view))
    excluded.erase(it);
  const ZoneMember &own = view.Doc.Members.at(view.Self);
  VmId want = ringSuccessor(view.Doc, view.Self, excluded);
  // If no other member is alive, the named successor is kept: this VM may be
  // the one that is partitioned, and then the successor must be able to take
  // over.
  if (want.empty() ||
      (want == own.Successor &&
       view.Doc.Members.at(want).VmIncarnation == own.SuccessorIncarnation))
    return {};
  OwnershipPlan plan = startPlan(view, OwnershipStep::NameSuccessor);
  plan.AffectedVm = want;
  plan.Reason = own.Successor.empty()
                    ? "no successor named"
                    : "the next live member in the ring has changed";
  ZoneMember &next = plan.Next.Members[view.Self];
  next.Successor = want;
  next.SuccessorIncarnation = plan.Next.Members.at(want).VmIncarnation;
  return plan;
}

} // namespace savorylb
