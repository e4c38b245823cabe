#include "savorylb/ownership.h"

#include "ownership_steps.h"

namespace savorylb {

OwnershipPlan startPlan(const OwnershipView &view, OwnershipStep step) {
  OwnershipPlan plan;
  plan.Step = step;
  plan.Next = view.Doc;
  plan.Next.Rev += Revision(1);
  plan.Next.Writer = view.Self;
  plan.Next.WriterIncarnation = view.SelfIncarnation;
  plan.Next.Partitions.resize(PartitionCount);
  plan.Next.QuarantinedAt.resize(PartitionCount);
  return plan;
}

bool isMember(const ZoneDocument &doc, const VmId &vm,
              const Incarnation &incarnation) {
  auto it = doc.Members.find(vm);
  return it != doc.Members.end() && it->second.VmIncarnation == incarnation;
}

bool isProvedDead(const OwnershipView &view, const VmId &vm) {
  auto it = view.Doc.Members.find(vm);
  return it != view.Doc.Members.end() &&
         view.ProvedDead.count({vm, it->second.VmIncarnation}) != 0;
}

std::vector<VmId> eligibleReceivers(const OwnershipView &view) {
  std::vector<VmId> out;
  for (const auto &it : view.Doc.Members)
    if (it.first == view.Self ? !view.Leaving
                              : view.Alive.count(it.first) != 0 &&
                                    view.Departing.count(it.first) == 0 &&
                                    !isProvedDead(view, it.first))
      out.push_back(it.first);
  return out;
}

void clearSuccessor(ZoneDocument &doc, const VmId &vm) {
  for (auto &it : doc.Members) {
    if (it.second.Successor != vm)
      continue;
    it.second.Successor = VmId();
    it.second.SuccessorIncarnation = Incarnation();
  }
}

void markQuarantined(ZoneDocument &doc, const std::vector<int> &partitions) {
  for (int it : partitions)
    doc.QuarantinedAt[it] = doc.Rev.Value;
}

VmId ringSuccessor(const ZoneDocument &doc, const VmId &vm,
                   const std::set<VmId> &excluded) {
  VmId first;
  for (const auto &it : doc.Members) {
    if (it.first == vm || excluded.count(it.first) != 0)
      continue;
    if (vm < it.first)
      return it.first;
    if (first.empty())
      first = it.first;
  }
  return first;
}

std::vector<TargetId> ownedTargets(const ZoneDocument &doc, const VmId &vm,
                                   const Incarnation &incarnation) {
  std::vector<TargetId> out;
  if (!isMember(doc, vm, incarnation))
    return out;
  for (const auto &it : doc.Targets)
    if (it.second == vm)
      out.push_back(it.first);
  return out;
}

std::vector<int> ownedPartitions(const ZoneDocument &doc, const VmId &vm,
                                 const Incarnation &incarnation) {
  std::vector<int> out;
  if (!isMember(doc, vm, incarnation))
    return out;
  for (std::size_t n = 0; n < doc.Partitions.size(); ++n)
    if (doc.Partitions[n] == vm)
      out.push_back(static_cast<int>(n));
  return out;
}

Ppm ownedRateShare(const ZoneDocument &doc, const VmId &vm,
                   const Incarnation &incarnation) {
  return isMember(doc, vm, incarnation) ? doc.Members.at(vm).RateShare : Ppm(0);
}

OwnershipPlan planOwnership(const OwnershipView &view,
                            const LeaseGrants &grants, MonoTime now,
                            const LeaseTimes &times) {
  if (!isMember(view.Doc, view.Self, view.SelfIncarnation))
    return planJoin(view, grants, now, times);
  OwnershipPlan plan = planTakeOver(view, grants, now, times);
  if (plan.Step != OwnershipStep::None)
    return plan;
  if (view.Leaving)
    return planLeave(view, grants, now, times);
  for (auto step : {planSuccessor, planClaim, planHandOff}) {
    plan = step(view);
    if (plan.Step != OwnershipStep::None)
      return plan;
  }
  return {};
}

} // namespace savorylb
