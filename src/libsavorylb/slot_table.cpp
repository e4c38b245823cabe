#include "slot_limit.h"

#include <algorithm>

namespace savorylb {

namespace {

/// A target that can take the request.
struct Candidate {
  OwnedTarget *Target = nullptr;
  SlotLimit Limit;
  int Busy = 0;
  int Rank = 0;
  bool Warm = false;
};

bool matches(const OwnedTarget &target, const VersionId &version) {
  return version.empty() || target.Spec.Version == version;
}

/// Ranks a target; a lower rank is preferred. For a service whose requests may
/// be repeated, a due probe is preferred, because otherwise an unhealthy target
/// would never be probed at low load. For a request that must not run twice, a
/// target that needs a probe ranks below the others. The target to avoid comes
/// last.
int rankOf(const SlotTable &table, const OwnedTarget &target, bool probe,
           const TargetId &avoid) {
  if (!avoid.empty() && target.Spec.Name == avoid)
    return 3;
  if (!probe)
    return 1;
  return table.Service.Mode == Execution::Idempotent ? 0 : 2;
}

/// Prefers, in this order, a lower rank, a smaller busy part of the limit, a
/// target past its warm-up, and the one whose newest grant is older.
bool isBetter(const Candidate &a, const Candidate &b) {
  if (a.Rank != b.Rank)
    return a.Rank < b.Rank;
  int left = a.Busy * b.Limit.Slots;
  int right = b.Busy * a.Limit.Slots;
  if (left != right)
    return left < right;
  if (a.Warm != b.Warm)
    return a.Warm;
  return a.Target->LastGrant < b.Target->LastGrant;
}

void eraseGrant(OwnedTarget &target, std::uint64_t number) {
  target.Grants.erase(number);
  target.GrantedAt.erase(number);
}

} // namespace

void adoptTarget(SlotTable &table, const TargetSpec &spec, bool inherited,
                 MonoTime now) {
  auto [it, inserted] = table.Targets.try_emplace(spec.Name);
  OwnedTarget &target = it->second;
  target.Spec = spec;
  if (!inserted)
    return;
  target.OwnedSince = now;
  target.WarmUpStart = now;
  target.ReportedLimit = spec.Slots;
  if (!inherited)
    return;
  // An inherited target has been in use and needs no warm-up.
  target.WarmUpStart = now - table.Service.WarmUp;
  target.InheritedBusy = spec.Slots;
  target.InheritedUntil = now + table.Service.MaxTime + SlotExpiryGrace;
}

int dropTarget(SlotTable &table, const TargetId &target) {
  auto it = table.Targets.find(target);
  if (it == table.Targets.end())
    return 0;
  int granted = static_cast<int>(it->second.Grants.size());
  table.Targets.erase(it);
  return granted;
}

std::optional<SlotGrant> grantSlot(SlotTable &table, const VersionId &version,
                                   const TargetId &avoid, MonoTime expiresAt,
                                   MonoTime now) {
  if (expiresAt <= now)
    return std::nullopt;
  if (now >= table.NextExpiry)
    expireGrants(table, now);
  Candidate best;
  for (auto &[name, target] : table.Targets) {
    // Checked first, because under overload nearly all targets are full.
    Candidate it;
    it.Busy = busySlots(target, now);
    if (it.Busy >= target.Spec.Slots || !matches(target, version))
      continue;
    it.Target = &target;
    it.Limit = slotLimit(target, table.Service.WarmUp, now);
    if (freeSlots(target, it.Limit, it.Busy) <= 0)
      continue;
    it.Rank = rankOf(table, target, it.Limit.Probe, avoid);
    it.Warm = now - target.WarmUpStart >= table.Service.WarmUp;
    if (best.Target == nullptr || isBetter(it, best))
      best = it;
  }
  if (best.Target == nullptr)
    return std::nullopt;
  SlotGrant grant;
  grant.Number = table.NextGrant++;
  grant.Target = best.Target->Spec.Name;
  grant.Address = best.Target->Spec.Address;
  grant.Version = best.Target->Spec.Version;
  grant.ExpiresAt = expiresAt;
  best.Target->Grants.emplace(grant.Number, expiresAt);
  best.Target->GrantedAt.emplace(grant.Number, now);
  best.Target->LastGrant = grant.Number;
  if (best.Limit.Probe)
    best.Target->ProbeGrant = grant.Number;
  table.NextExpiry = std::min(table.NextExpiry, expiresAt + SlotExpiryGrace);
  return grant;
}

bool releaseSlot(SlotTable &table, const TargetId &target, std::uint64_t number,
                 SlotResult result, MonoTime now) {
  auto found = table.Targets.find(target);
  if (found == table.Targets.end())
    return false;
  OwnedTarget &it = found->second;
  auto granted = it.GrantedAt.find(number);
  if (granted == it.GrantedAt.end())
    return false;
  bool timedOut =
      result == SlotResult::TimedOut || result == SlotResult::TimedOutBusy;
  bool failed = result == SlotResult::Failed ||
                (timedOut && now - granted->second >= MinCountedTimeout);
  if (result == SlotResult::TimedOutBusy ||
      result == SlotResult::AbandonedBusy) {
    it.GrantedAt.erase(number);
    it.ReleasedWhileBusy.emplace(number, now);
  } else {
    eraseGrant(it, number);
  }
  if (failed) {
    it.FailedRequests = true;
    recordFailure(it, now);
  } else if (result == SlotResult::Done && it.Healthy) {
    it.ConsecutiveFailures = 0;
    it.FailedRequests = false;
  } else if (result == SlotResult::Shed) {
    // The target accepted fewer requests than were granted. Limit it to those
    // it is still serving, at least one, until it had time to recover.
    it.ShedLimit = std::max(1, busySlots(it, now));
    it.ShedUntil = now + ProbeDelay;
  }
  if (number == it.ProbeGrant)
    recordProbeResult(it, result, now);
  return true;
}

void expireGrants(SlotTable &table, MonoTime now) {
  table.NextExpiry = MonoTime::max();
  for (auto &[name, target] : table.Targets) {
    for (auto it = target.Grants.begin(); it != target.Grants.end();) {
      MonoTime until = it->second + SlotExpiryGrace;
      if (now < until) {
        table.NextExpiry = std::min(table.NextExpiry, until);
        ++it;
        continue;
      }
      std::uint64_t number = it->first;
      it = target.Grants.erase(it);
      target.GrantedAt.erase(number);
      target.ReleasedWhileBusy.erase(number);
      // No VM reported how the probe ended, so it counts as failed.
      if (number == target.ProbeGrant)
        recordProbeResult(target, SlotResult::TimedOut, now);
    }
  }
}

int freeSlots(const SlotTable &table, const VersionId &version, MonoTime now) {
  int sum = 0;
  for (const auto &[name, target] : table.Targets)
    if (matches(target, version))
      sum += freeSlots(target, slotLimit(target, table.Service.WarmUp, now),
                       busySlots(target, now));
  return sum;
}

int usableSlots(const SlotTable &table, const VersionId &version,
                MonoTime now) {
  int sum = 0;
  for (const auto &[name, target] : table.Targets)
    if (matches(target, version))
      sum += slotLimit(target, table.Service.WarmUp, now).Slots;
  return sum;
}

} // namespace savorylb
