#include "request_place.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "savorylb/placement.h"

#include <algorithm>
#include <random>

namespace savorylb {
namespace {

/// Number of owners asked for a slot that is free now; each one on another VM
/// costs a round trip.
constexpr std::size_t MaxImmediateOwners = 3;
/// Longest wait in an owner's queue, which also takes at most three quarters of
/// the time left; the rest is for the target.
constexpr Duration MaxQueueWait = Seconds(2);

const VmView *findView(const std::vector<VmView> &vms, const VmId &vm) {
  auto it = std::find_if(vms.begin(), vms.end(),
                         [&](const VmView &v) { return v.Name == vm; });
  return it == vms.end() ? nullptr : &*it;
}

std::int64_t expectedBytes(const RequestContext &context) {
  std::shared_ptr<ServiceShard> shard =
      serviceShard(context.LocalDaemon, context.Service->Name);
  std::int64_t response = 4096;
  if (shard) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    response = shard->MeanResponseBytes;
  }
  return response + std::max<std::int64_t>(0, context.BodyLength);
}

SlotAnswer acquireSlot(RequestContext &context, const PeerAddress &owner,
                       const SlotQuery &query) {
  if (owner.Vm == context.LocalDaemon.Conf.Vm)
    return acquireOwnSlot(context.LocalDaemon, query);
  return callAcquire(context.LocalDaemon, owner, query);
}

/// Requests a slot from one owner; one in another region first needs link
/// bytes.
bool tryOwner(RequestContext &context, const PlacementChoice &choice,
              const VmView &view, const SlotQuery &query, Placement &result) {
  std::int64_t bytes = 0;
  if (choice.OtherRegion) {
    bytes = expectedBytes(context);
    if (!reserveLink(context.LocalDaemon, view.Region, bytes)) {
      result.Reason = "link-full";
      return false;
    }
  }
  PeerAddress owner{view.Name, view.PeerEndpoint};
  MonoTime askedAt = monoNow();
  SlotAnswer answer = acquireSlot(context, owner, query);
  if (!answer.Grant) {
    if (choice.OtherRegion)
      settleLink(context.LocalDaemon, view.Region, bytes, 0);
    // Without queueing, the reason of the first owner that was reached is kept,
    // unless a full link replaces it later.
    if (result.Reason.empty() || result.Reason == "owner-unreachable") {
      result.Reason = answer.Reason;
      result.RetryAfter = answer.RetryAfter;
    }
    return false;
  }
  // The owner limits a grant to the service's MaxTime.
  answer.Grant->ExpiresAt =
      std::min(answer.Grant->ExpiresAt,
               askedAt + std::min(query.Remaining, context.Service->MaxTime));
  result.Slot =
      PlacedSlot{*answer.Grant, owner, view.Region, choice.OtherRegion, bytes};
  return true;
}

SlotQuery makeQuery(const RequestContext &context, const VersionId &version,
                    const TargetId &avoid) {
  SlotQuery query;
  query.Service = context.Service->Name;
  query.Version = version;
  query.Team = context.Team;
  query.Weight = context.Weight;
  query.Remaining = timeLeft(context);
  query.Avoid = avoid;
  query.Forwarder = context.LocalDaemon.Conf.Vm;
  query.Trace = context.Trace;
  return query;
}

std::vector<PlacementChoice> rankOwners(const RequestContext &context,
                                        const std::vector<VmView> &vms,
                                        const VersionId &version) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  PlacementQuery query;
  query.Self = context.LocalDaemon.Conf.Vm;
  query.Zone = context.LocalDaemon.Conf.Zone;
  query.Region = context.LocalDaemon.Conf.Region;
  query.Service = context.Service->Name;
  query.Version = version;
  query.TeamRegions = context.TeamRegions;
  query.Spill = context.Service->Spill;
  query.RandomA = random();
  query.RandomB = random();
  return placeRequest(context.ArrivalSnapshot->Conf, vms, query, monoNow());
}

void logPlacement(const RequestContext &context, const PlacedSlot &slot,
                  const std::string &reason) {
  if (!context.LocalDaemon.Conf.LogDecisions)
    return;
  logEvent(slot.OtherRegion ? EventCode::SpilledOver : EventCode::RequestPlaced,
           {{"trace", context.Trace},
            {"service", context.Service->Name.Value},
            {"team", context.Team.Value},
            {"owner", slot.Owner.Vm.Value},
            {"region", slot.Region.Value},
            {"target", slot.Grant.Target.Value},
            {"version", slot.Grant.Version.Value},
            {"left_us", timeLeft(context).count()},
            {"reason", reason}});
}

} // namespace

Placement placeAttempt(RequestContext &context, const VersionId &version,
                       const TargetId &avoid, SlotWait wait) {
  VmViews vms = knownVms(context.LocalDaemon);
  std::vector<PlacementChoice> owners = rankOwners(context, *vms, version);
  SlotQuery query = makeQuery(context, version, avoid);
  Placement result;
  std::size_t asked = 0;
  for (const PlacementChoice &it : owners) {
    const VmView *view = findView(*vms, it.Owner);
    if (!view || asked++ >= MaxImmediateOwners)
      continue;
    if (tryOwner(context, it, *view, query, result)) {
      logPlacement(context, *result.Slot, it.Reason);
      return result;
    }
  }
  // No slot is free now: queue at one owner after another, in order of rank,
  // until one grants a slot or reports overload. The last owner's reason is
  // kept.
  query.Remaining = timeLeft(context);
  query.MaxWait = std::min(MaxQueueWait, query.Remaining * 3 / 4);
  for (const PlacementChoice &it : owners) {
    const VmView *view = findView(*vms, it.Owner);
    if (!view || query.MaxWait <= Duration(0) || wait == SlotWait::None)
      continue;
    result.Reason.clear();
    if (tryOwner(context, it, *view, query, result)) {
      logPlacement(context, *result.Slot, "queued");
      return result;
    }
    if (result.Reason == "overload")
      break;
    query.Remaining = timeLeft(context);
    query.MaxWait = std::min(MaxQueueWait, query.Remaining * 3 / 4);
  }
  if (result.Reason.empty())
    result.Reason = "no-target";
  return result;
}

void releasePlacedSlot(RequestContext &context, const PlacedSlot &slot,
                       SlotResult result, Duration took, std::int64_t bytes) {
  Daemon &daemon = context.LocalDaemon;
  if (slot.OtherRegion)
    settleLink(daemon, slot.Region, slot.ReservedBytes, bytes);
  if (slot.Owner.Vm == daemon.Conf.Vm)
    releaseOwnSlot(daemon, slot.Grant.Target, slot.Grant.Number, result, took);
  else
    sendRelease(daemon, slot.Owner, slot.Grant.Target, slot.Grant.Number,
                result, took);
}

} // namespace savorylb
