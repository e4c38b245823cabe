#include "ownership_steps.h"

namespace savorylb {
namespace {

/// \returns whether the named successor should take over first. A takeover by
/// another member would quarantine the ledger, so other members wait for a
/// short time after the proof of death.
bool shouldDeferToSuccessor(const OwnershipView &view, const VmId &vm,
                            const ZoneMember &member, MonoTime now,
                            const LeaseTimes &times) {
  auto since = view.ProvedDeadAt.find({vm, member.VmIncarnation});
  // Two renewal intervals are enough for the successor to probe the member
  // itself and to plan the takeover.
  return since != view.ProvedDeadAt.end() &&
         now < since->second + 2 * times.RenewEvery &&
         isMember(view.Doc, member.Successor, member.SuccessorIncarnation) &&
         view.Alive.count(member.Successor) != 0 &&
         !isProvedDead(view, member.Successor);
}

OwnershipPlan takeOver(const OwnershipView &view, const VmId &vm,
                       const ZoneMember &member, bool proved) {
  OwnershipPlan plan = startPlan(view, OwnershipStep::TakeOver);
  plan.AffectedVm = vm;
  plan.Reason = proved ? "proved dead" : "its leases have ended";
  for (auto &it : plan.Next.Targets)
    if (it.second == vm)
      it.second = view.Self;
  auto moved = ownedPartitions(view.Doc, vm, member.VmIncarnation);
  for (int it : moved)
    plan.Next.Partitions[it] = view.Self;
  if (view.CompleteReplicas.count(vm) == 0)
    markQuarantined(plan.Next, moved);
  plan.Next.Members[view.Self].RateShare += member.RateShare;
  plan.Next.Members.erase(vm);
  clearSuccessor(plan.Next, vm);
  return plan;
}

} // namespace

OwnershipPlan planTakeOver(const OwnershipView &view, const LeaseGrants &grants,
                           MonoTime now, const LeaseTimes &times) {
  for (const auto &[vm, member] : view.Doc.Members) {
    if (vm == view.Self)
      continue;
    bool proved = isProvedDead(view, vm);
    bool named = member.Successor == view.Self &&
                 member.SuccessorIncarnation == view.SelfIncarnation;
    if (!named &&
        (!proved || shouldDeferToSuccessor(view, vm, member, now, times)))
      continue;
    if (mayTakeOver(grants, vm, member.VmIncarnation, now, times, proved))
      return takeOver(view, vm, member, proved);
  }
  return {};
}

} // namespace savorylb
