#include "ownership_steps.h"

#include <algorithm>
#include <cstdint>

namespace savorylb {
namespace {

/// What one member has of each kind.
struct Holding {
  std::vector<TargetId> Targets;
  std::vector<int> Partitions;
  std::int64_t Rate = 0;
};

std::int64_t fairShare(std::int64_t total, std::size_t members) {
  auto n = static_cast<std::int64_t>(members);
  return n == 0 ? 0 : (total + n - 1) / n;
}

/// \returns what each member of the document has; configured targets only, so
/// that removed ones do not count towards a share.
std::map<VmId, Holding> holdings(const OwnershipView &view) {
  std::map<VmId, Holding> out;
  for (const auto &it : view.Doc.Members)
    out[it.first].Rate = it.second.RatePpm.Value;
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

std::int64_t assignedRate(const ZoneDocument &doc) {
  std::int64_t sum = 0;
  for (const auto &it : doc.Members)
    sum += it.second.RatePpm.Value;
  return sum;
}

bool hasOwner(const ZoneDocument &doc, const VmId &owner) {
  return !owner.empty() && doc.Members.count(owner) != 0;
}

/// The member that gets a part of an excess and how much of it.
struct Transfer {
  VmId To;
  std::int64_t Count = 0;
};

/// Moves at most what the receiver lacks to the fair share, so that it never
/// hands anything back. A receiver needs a successor, else what it gets could
/// not be taken over.
template <typename Amount>
Transfer chooseTransfer(const OwnershipView &view,
                        const std::map<VmId, Holding> &have, std::int64_t total,
                        Amount amount) {
  auto members = receivers(view);
  std::int64_t fair = fairShare(total, members.size());
  Transfer out;
  std::int64_t least = fair;
  for (const auto &it : members) {
    if (it == view.Self || view.Doc.Members.at(it).Successor.empty())
      continue;
    std::int64_t n = amount(have.at(it));
    if (n < least) {
      least = n;
      out.To = it;
    }
  }
  out.Count = std::min(amount(have.at(view.Self)) - fair, fair - least);
  return out;
}

OwnershipPlan handRate(const OwnershipView &view, VmId to, std::int64_t count,
                       const char *reason) {
  OwnershipPlan plan = startPlan(view, OwnershipStep::HandOff);
  plan.Reason = reason;
  plan.ReleasedRate = Ppm(count);
  plan.Next.Members[view.Self].RatePpm -= Ppm(count);
  if (!to.empty())
    plan.Next.Members[to].RatePpm += Ppm(count);
  plan.Other = std::move(to);
  return plan;
}

OwnershipPlan dropTargets(const OwnershipView &view) {
  // An empty configuration more likely means that none was read yet.
  if (view.ConfiguredTargets.empty())
    return {};
  std::vector<TargetId> gone;
  for (const auto &it : view.Doc.Targets)
    if (it.second == view.Self && view.ConfiguredTargets.count(it.first) == 0)
      gone.push_back(it.first);
  if (gone.empty())
    return {};
  OwnershipPlan plan = startPlan(view, OwnershipStep::HandOff);
  plan.Reason = "targets are no longer configured";
  for (const auto &it : gone)
    plan.Next.Targets.erase(it);
  plan.ReleasedTargets = std::move(gone);
  return plan;
}

/// \returns a member's amount below the fair share, at most what is free.
std::int64_t claimable(std::int64_t unowned, std::int64_t fair,
                       std::int64_t own) {
  return std::clamp<std::int64_t>(fair - own, 0,
                                  std::max<std::int64_t>(unowned, 0));
}

} // namespace

OwnershipPlan planClaim(const OwnershipView &view) {
  auto have = holdings(view);
  const Holding &own = have.at(view.Self);
  auto members = receivers(view).size();
  std::vector<TargetId> targets;
  for (const auto &it : view.ConfiguredTargets) {
    auto owner = view.Doc.Targets.find(it);
    if (owner == view.Doc.Targets.end() || !hasOwner(view.Doc, owner->second))
      targets.push_back(it);
  }
  targets.resize(claimable(
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
      claimable(static_cast<std::int64_t>(partitions.size()),
                fairShare(PartitionCount, members),
                static_cast<std::int64_t>(own.Partitions.size())));
  std::int64_t rate =
      claimable(view.Doc.RatePpm.Value - assignedRate(view.Doc),
                fairShare(view.Doc.RatePpm.Value, members), own.Rate);
  std::vector<int> complete;
  for (int it : own.Partitions)
    if (view.QuarantineOver.count(it) != 0 && view.Doc.QuarantinedAt[it] != 0)
      complete.push_back(it);
  if (targets.empty() && partitions.empty() && rate == 0 && complete.empty())
    return {};
  OwnershipPlan plan = startPlan(view, OwnershipStep::Claim);
  plan.Reason = "unowned resources or ended quarantines";
  for (const auto &it : targets)
    plan.Next.Targets[it] = view.Self;
  for (int it : partitions)
    plan.Next.Partitions[it] = view.Self;
  for (int it : complete)
    plan.Next.QuarantinedAt[it] = 0;
  // The last owner took the ledger with it.
  quarantine(plan.Next, partitions);
  plan.Next.Members[view.Self].RatePpm += Ppm(rate);
  return plan;
}

OwnershipPlan planHandOff(const OwnershipView &view) {
  OwnershipPlan plan = dropTargets(view);
  if (plan.Step != OwnershipStep::None)
    return plan;
  auto have = holdings(view);
  const Holding &own = have.at(view.Self);
  std::int64_t zoneRate = view.Doc.RatePpm.Value;
  std::int64_t over =
      std::min(assignedRate(view.Doc) - zoneRate,
               own.Rate - fairShare(zoneRate, receivers(view).size()));
  if (over > 0)
    return handRate(view, VmId(), over, "the zone's rate was lowered");
  auto rate = chooseTransfer(view, have, zoneRate,
                             [](const Holding &it) { return it.Rate; });
  if (rate.Count > 0)
    return handRate(view, rate.To, rate.Count, "more rate than the fair share");
  auto targets = chooseTransfer(
      view, have, static_cast<std::int64_t>(view.ConfiguredTargets.size()),
      [](const Holding &it) {
        return static_cast<std::int64_t>(it.Targets.size());
      });
  if (targets.Count > 0) {
    plan = startPlan(view, OwnershipStep::HandOff);
    plan.Reason = "more targets than the fair share";
    plan.Other = targets.To;
    plan.ReleasedTargets.assign(own.Targets.end() - targets.Count,
                                own.Targets.end());
    for (const auto &it : plan.ReleasedTargets)
      plan.Next.Targets[it] = targets.To;
    return plan;
  }
  auto parts =
      chooseTransfer(view, have, PartitionCount, [](const Holding &it) {
        return static_cast<std::int64_t>(it.Partitions.size());
      });
  if (parts.Count > 0) {
    plan = startPlan(view, OwnershipStep::HandOff);
    plan.Reason = "more partitions than the fair share";
    plan.Other = parts.To;
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
    auto until = grants.HeldUntil.find({vm, member.Life});
    // Only this VM may take a silent member over, at the end of its lease.
    // Three missed renewals tell it from a live one; the wait is below 3 s.
    if (member.Successor == view.Self && view.Alive.count(vm) == 0 &&
        until != grants.HeldUntil.end() && now < until->second &&
        until->second - now < times.Granted - 3 * times.RenewEvery) {
      OwnershipPlan none;
      none.Reason = "waits to take over a silent member";
      return none;
    }
  }
  OwnershipPlan plan = startPlan(view, OwnershipStep::Leave);
  ZoneDocument &next = plan.Next;
  plan.ReleasedTargets = ownedTargets(view.Doc, view.Self, view.Life);
  plan.ReleasedPartitions = ownedPartitions(view.Doc, view.Self, view.Life);
  plan.ReleasedRate = ownedRate(view.Doc, view.Self, view.Life);
  next.Members.erase(view.Self);
  forgetSuccessor(next, view.Self);
  auto others = receivers(view);
  if (others.empty()) {
    plan.Reason = "leaves; no member can receive";
    for (const auto &it : plan.ReleasedTargets)
      next.Targets.erase(it);
    for (int it : plan.ReleasedPartitions)
      next.Partitions[it] = VmId();
    return plan;
  }
  plan.Reason = "leaves";
  plan.Other = others.front();
  auto have = holdings(view);
  auto leastBy = [&](auto amount) {
    return *std::min_element(others.begin(), others.end(),
                             [&](const VmId &a, const VmId &b) {
                               return amount(have.at(a)) < amount(have.at(b));
                             });
  };
  for (const auto &it : plan.ReleasedTargets) {
    VmId to = leastBy([](const Holding &h) { return h.Targets.size(); });
    have.at(to).Targets.push_back(it);
    next.Targets[it] = to;
  }
  for (int it : plan.ReleasedPartitions) {
    VmId to = leastBy([](const Holding &h) { return h.Partitions.size(); });
    have.at(to).Partitions.push_back(it);
    next.Partitions[it] = to;
  }
  std::int64_t left = plan.ReleasedRate.Value;
  for (std::size_t n = 0; n < others.size(); ++n) {
    // The later members' even parts stay reserved for them.
    auto part = left / static_cast<std::int64_t>(others.size() - n);
    next.Members[others[n]].RatePpm += Ppm(part);
    left -= part;
  }
  return plan;
}

} // namespace savorylb
