#include "ownership_steps.h"

#include <algorithm>
#include <cstdint>

namespace savorylb {
namespace {

/// The resources of one member.
struct OwnedResources {
  std::vector<TargetId> Targets;
  std::vector<int> Partitions;
  std::int64_t RateShare = 0;
};

/// \returns the total divided by the number of members, rounded up.
std::int64_t fairShare(std::int64_t total, std::size_t members) {
  auto n = static_cast<std::int64_t>(members);
  return n == 0 ? 0 : (total + n - 1) / n;
}

/// \returns the resources of each member. Only configured targets are included,
/// so that removed ones do not count towards a fair share.
std::map<VmId, OwnedResources> resourcesByMember(const OwnershipView &view) {
  std::map<VmId, OwnedResources> out;
  for (const auto &it : view.Doc.Members)
    out[it.first].RateShare = it.second.RateShare.Value;
  for (const auto &it : view.Doc.Targets) {
    auto owner = out.find(it.second);
    if (owner != out.end() && view.ConfiguredTargets.count(it.first) != 0)
      owner->second.Targets.push_back(it.first);
  }
  for (std::size_t n = 0; n < view.Doc.Partitions.size(); ++n) {
    auto owner = out.find(view.Doc.Partitions[n]);
    if (owner != out.end())
      owner->second.Partitions.push_back(static_cast<int>(n));
  }
  return out;
}

std::int64_t assignedRateShare(const ZoneDocument &doc) {
  std::int64_t sum = 0;
  for (const auto &it : doc.Members)
    sum += it.second.RateShare.Value;
  return sum;
}

bool hasOwner(const ZoneDocument &doc, const VmId &owner) {
  return !owner.empty() && doc.Members.count(owner) != 0;
}

/// The member that receives excess resources, and how many.
struct Transfer {
  VmId To;
  std::int64_t Count = 0;
};

/// Moves at most as much as the receiver lacks to the fair share, so that the
/// receiver never has to hand anything back. A receiver must have a successor,
/// because otherwise nobody could take over what it receives.
template <typename Amount>
Transfer chooseTransfer(const OwnershipView &view,
                        const std::map<VmId, OwnedResources> &owned,
                        std::int64_t total, Amount amount) {
  auto members = eligibleReceivers(view);
  std::int64_t fair = fairShare(total, members.size());
  Transfer out;
  std::int64_t least = fair;
  for (const auto &it : members) {
    if (it == view.Self || view.Doc.Members.at(it).Successor.empty())
      continue;
    std::int64_t n = amount(owned.at(it));
    if (n < least) {
      least = n;
      out.To = it;
    }
  }
  out.Count = std::min(amount(owned.at(view.Self)) - fair, fair - least);
  return out;
}

OwnershipPlan planRateShareHandOff(const OwnershipView &view, VmId to,
                                   std::int64_t count, const char *reason) {
  OwnershipPlan plan = startPlan(view, OwnershipStep::HandOff);
  plan.Reason = reason;
  plan.ReleasedRateShare = Ppm(count);
  plan.Next.Members[view.Self].RateShare -= Ppm(count);
  if (!to.empty())
    plan.Next.Members[to].RateShare += Ppm(count);
  plan.AffectedVm = std::move(to);
  return plan;
}

OwnershipPlan planTargetRemoval(const OwnershipView &view) {
  // An empty configuration most likely means that it has not been read yet.
  if (view.ConfiguredTargets.empty())
    return {};
  std::vector<TargetId> removed;
  for (const auto &it : view.Doc.Targets)
    if (it.second == view.Self && view.ConfiguredTargets.count(it.first) == 0)
      removed.push_back(it.first);
  if (removed.empty())
    return {};
  OwnershipPlan plan = startPlan(view, OwnershipStep::HandOff);
  plan.Reason = "targets are no longer configured";
  for (const auto &it : removed)
    plan.Next.Targets.erase(it);
  plan.ReleasedTargets = std::move(removed);
  return plan;
}

/// \returns how much a member lacks to the fair share, limited to what is
/// unowned.
std::int64_t claimableAmount(std::int64_t unowned, std::int64_t fair,
                             std::int64_t own) {
  return std::clamp<std::int64_t>(fair - own, 0,
                                  std::max<std::int64_t>(unowned, 0));
}

} // namespace

OwnershipPlan planClaim(const OwnershipView &view) {
  auto owned = resourcesByMember(view);
  const OwnedResources &own = owned.at(view.Self);
  auto members = eligibleReceivers(view).size();
  std::vector<TargetId> targets;
  for (const auto &it : view.ConfiguredTargets) {
    auto owner = view.Doc.Targets.find(it);
    if (owner == view.Doc.Targets.end() || !hasOwner(view.Doc, owner->second))
      targets.push_back(it);
  }
  targets.resize(claimableAmount(
      static_cast<std::int64_t>(targets.size()),
      fairShare(static_cast<std::int64_t>(view.ConfiguredTargets.size()),
                members),
      static_cast<std::int64_t>(own.Targets.size())));
  std::vector<int> partitions;
  for (int n = 0; n < PartitionCount; ++n)
    if (n >= static_cast<int>(view.Doc.Partitions.size()) ||
        !hasOwner(view.Doc, view.Doc.Partitions[n]))
      partitions.push_back(n);
  partitions.resize(
      claimableAmount(static_cast<std::int64_t>(partitions.size()),
                      fairShare(PartitionCount, members),
                      static_cast<std::int64_t>(own.Partitions.size())));
  std::int64_t rateShare = claimableAmount(
      view.Doc.RateShare.Value - assignedRateShare(view.Doc),
      fairShare(view.Doc.RateShare.Value, members), own.RateShare);
  std::vector<int> endedQuarantines;
  for (int it : own.Partitions)
    if (view.QuarantineEnded.count(it) != 0 && view.Doc.QuarantinedAt[it] != 0)
      endedQuarantines.push_back(it);
  if (targets.empty() && partitions.empty() && rateShare == 0 &&
      endedQuarantines.empty())
    return {};
  OwnershipPlan plan = startPlan(view, OwnershipStep::Claim);
  plan.Reason = "resources are unowned or a quarantine has ended";
  for (const auto &it : targets)
    plan.Next.Targets[it] = view.Self;
  for (int it : partitions)
    plan.Next.Partitions[it] = view.Self;
  for (int it : endedQuarantines)
    plan.Next.QuarantinedAt[it] = 0;
  // The ledger was lost with the last owner.
  markQuarantined(plan.Next, partitions);
  plan.Next.Members[view.Self].RateShare += Ppm(rateShare);
  return plan;
}

OwnershipPlan planHandOff(const OwnershipView &view) {
  OwnershipPlan plan = planTargetRemoval(view);
  if (plan.Step != OwnershipStep::None)
    return plan;
  auto owned = resourcesByMember(view);
  const OwnedResources &own = owned.at(view.Self);
  std::int64_t zoneRateShare = view.Doc.RateShare.Value;
  std::int64_t excess = std::min(
      assignedRateShare(view.Doc) - zoneRateShare,
      own.RateShare - fairShare(zoneRateShare, eligibleReceivers(view).size()));
  if (excess > 0)
    return planRateShareHandOff(view, VmId(), excess,
                                "the zone's rate was lowered");
  auto rateShare =
      chooseTransfer(view, owned, zoneRateShare,
                     [](const OwnedResources &it) { return it.RateShare; });
  if (rateShare.Count > 0)
    return planRateShareHandOff(view, rateShare.To, rateShare.Count,
                                "more rate than the fair share");
  auto targets = chooseTransfer(
      view, owned, static_cast<std::int64_t>(view.ConfiguredTargets.size()),
      [](const OwnedResources &it) {
        return static_cast<std::int64_t>(it.Targets.size());
      });
  if (targets.Count > 0) {
    plan = startPlan(view, OwnershipStep::HandOff);
    plan.Reason = "more targets than the fair share";
    plan.AffectedVm = targets.To;
    plan.ReleasedTargets.assign(own.Targets.end() - targets.Count,
                                own.Targets.end());
    for (const auto &it : plan.ReleasedTargets)
      plan.Next.Targets[it] = targets.To;
    return plan;
  }
  auto parts =
      chooseTransfer(view, owned, PartitionCount, [](const OwnedResources &it) {
        return static_cast<std::int64_t>(it.Partitions.size());
      });
  if (parts.Count > 0) {
    plan = startPlan(view, OwnershipStep::HandOff);
    plan.Reason = "more partitions than the fair share";
    plan.AffectedVm = parts.To;
    plan.ReleasedPartitions.assign(own.Partitions.end() - parts.Count,
                                   own.Partitions.end());
    for (int it : plan.ReleasedPartitions)
      plan.Next.Partitions[it] = parts.To;
    return plan;
  }
  return {};
}

OwnershipPlan planLeave(const OwnershipView &view, const LeaseGrants &grants,
                        MonoTime now, const LeaseTimes &times) {
  for (const auto &[vm, member] : view.Doc.Members) {
    auto until = grants.HeldUntil.find({vm, member.VmIncarnation});
    // Without a proof of death, only this VM may take over a silent member, and
    // only when its lease has ended. A member counts as silent after three
    // missed renewals; the wait is shorter than 3 s.
    if (member.Successor == view.Self && view.Alive.count(vm) == 0 &&
        until != grants.HeldUntil.end() && now < until->second &&
        until->second - now < times.Granted - 3 * times.RenewEvery) {
      OwnershipPlan none;
      none.Reason = "waiting to take over a silent member";
      return none;
    }
  }
  OwnershipPlan plan = startPlan(view, OwnershipStep::Leave);
  ZoneDocument &next = plan.Next;
  plan.ReleasedTargets =
      ownedTargets(view.Doc, view.Self, view.SelfIncarnation);
  plan.ReleasedPartitions =
      ownedPartitions(view.Doc, view.Self, view.SelfIncarnation);
  plan.ReleasedRateShare =
      ownedRateShare(view.Doc, view.Self, view.SelfIncarnation);
  next.Members.erase(view.Self);
  clearSuccessor(next, view.Self);
  auto others = eligibleReceivers(view);
  if (others.empty()) {
    plan.Reason = "leaves; no member can receive resources";
    for (const auto &it : plan.ReleasedTargets)
      next.Targets.erase(it);
    for (int it : plan.ReleasedPartitions)
      next.Partitions[it] = VmId();
    return plan;
  }
  plan.Reason = "leaves";
  plan.AffectedVm = others.front();
  auto owned = resourcesByMember(view);
  auto memberWithLeast = [&](auto amount) {
    return *std::min_element(others.begin(), others.end(),
                             [&](const VmId &a, const VmId &b) {
                               return amount(owned.at(a)) < amount(owned.at(b));
                             });
  };
  for (const auto &it : plan.ReleasedTargets) {
    VmId to = memberWithLeast(
        [](const OwnedResources &h) { return h.Targets.size(); });
    owned.at(to).Targets.push_back(it);
    next.Targets[it] = to;
  }
  for (int it : plan.ReleasedPartitions) {
    VmId to = memberWithLeast(
        [](const OwnedResources &h) { return h.Partitions.size(); });
    owned.at(to).Partitions.push_back(it);
    next.Partitions[it] = to;
  }
  std::int64_t remaining = plan.ReleasedRateShare.Value;
  for (std::size_t n = 0; n < others.size(); ++n) {
    // Divides the remaining share evenly among the remaining members, so that
    // rounding loses nothing.
    auto part = remaining / static_cast<std::int64_t>(others.size() - n);
    next.Members[others[n]].RateShare += Ppm(part);
    remaining -= part;
  }
  return plan;
}

} // namespace savorylb
