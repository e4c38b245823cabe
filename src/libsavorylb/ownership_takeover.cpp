#include "ownership_steps.h"

namespace savorylb {
namespace {

/// Leaves a fresh proof of death to the named successor for a while, because
/// a takeover by others quarantines the ledger.
bool leftToSuccessor(const OwnershipView &view, const VmId &vm,
                     const ZoneMember &member, MonoTime now,
                     const LeaseTimes &times) {
  auto since = view.ProvedDeadAt.find({vm, member.Life});
  // Two renewal intervals cover the successor's own probe and tick.
  return since != view.ProvedDeadAt.end() &&
         now < since->second + 2 * times.RenewEvery &&
         isMember(view.Doc, member.Successor, member.SuccessorLife) &&
         view.Alive.count(member.Successor) != 0 &&
         !isProvedDead(view, member.Successor);
}

OwnershipPlan takeOver(const OwnershipView &view, const VmId &vm,
                       const ZoneMember &member, bool proved) {
  OwnershipPlan plan = startPlan(view, OwnershipStep::TakeOver);
  plan.Other = vm;
  plan.Reason = proved ? "proved dead" : "its leases have ended";
  for (auto &it : plan.Next.Targets)
    if (it.second == vm)
      it.second = view.Self;
  auto moved = ownedPartitions(view.Doc, vm, member.Life);
  for (int it : moved)
    plan.Next.Partitions[it] = view.Self;
  if (view.CompleteReplicas.count(vm) == 0)
    quarantine(plan.Next, moved);
  plan.Next.Members[view.Self].RatePpm += member.RatePpm;
  plan.Next.Members.erase(vm);
  forgetSuccessor(plan.Next, vm);
  return plan;
}

} // namespace

OwnershipPlan planTakeOver(const OwnershipView &view, const LeaseGrants &grants,
                           MonoTime now, const LeaseTimes &times) {
  for (const auto &[vm, member] : view.Doc.Members) {
    if (vm == view.Self)
      continue;
    bool proved = isProvedDead(view, vm);
    bool named =
        member.Successor == view.Self && member.SuccessorLife == view.Life;
    if (!named && (!proved || leftToSuccessor(view, vm, member, now, times)))
      continue;
    if (mayTakeOver(grants, vm, member.Life, now, times, proved))
      return takeOver(view, vm, member, proved);
  }
  return {};
}

} // namespace savorylb
