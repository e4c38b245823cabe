#include "request_place.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "savorylb/placement.h"

#include <algorithm>
#include <random>

namespace savorylb {
namespace {

/// Owners asked for a slot that is free now; each remote one costs a round
/// trip.
constexpr std::size_t MaxImmediateAsks = 3;
constexpr Duration LongestWait = Seconds(2);

const VmView *findView(const std::vector<VmView> &vms, const VmId &vm) {
  auto it = std::find_if(vms.begin(), vms.end(),
                         [&](const VmView &v) { return v.Name == vm; });
  return it == vms.end() ? nullptr : &*it;
}

std::int64_t expectedBytes(const RequestContext &context) {
  std::shared_ptr<ServiceShard> shard =
      serviceShard(context.Owner, context.Service->Name);
  std::int64_t response = 4096;
  if (shard) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    response = shard->ResponseBytes;
  }
  return response + std::max<std::int64_t>(0, context.BodyLength);
}

SlotAnswer ask(RequestContext &context, const PeerAddress &owner,
               const SlotQuery &query) {
  if (owner.Vm == context.Owner.Conf.Vm)
    return acquireOwnSlot(context.Owner, query);
  return callAcquire(context.Owner, owner, query);
}

/// Asks one owner; a request to another region first reserves link bytes.
bool tryOwner(RequestContext &context, const PlacementChoice &choice,
              const VmView &view, const SlotQuery &query, Placement &result) {
  std::int64_t bytes = 0;
  if (choice.OtherRegion) {
    bytes = expectedBytes(context);
    if (!reserveLink(context.Owner, view.Region, bytes)) {
      result.Reason = "link-full";
      return false;
    }
  }
  PeerAddress owner{view.Name, view.PeerEndpoint};
  MonoTime askedAt = monoNow();
  SlotAnswer answer = ask(context, owner, query);
  if (!answer.Grant) {
    if (choice.OtherRegion)
      settleLink(context.Owner, view.Region, bytes, 0);
    // The first refusal comes from the nearest owner and says most.
    if (result.Reason.empty() || result.Reason == "owner-unreachable") {
      result.Reason = answer.Reason;
      result.RetryAfter = answer.RetryAfter;
    }
    return false;
  }
  // The owner cuts the time at the service's longest.
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
  query.Forwarder = context.Owner.Conf.Vm;
  query.Trace = context.Trace;
  return query;
}

std::vector<PlacementChoice> choices(const RequestContext &context,
                                     const std::vector<VmView> &vms,
                                     const VersionId &version) {
  static thread_local std::mt19937_64 random(std::random_device{}());
  PlacementQuery query;
  query.Self = context.Owner.Conf.Vm;
  query.Zone = context.Owner.Conf.Zone;
  query.Region = context.Owner.Conf.Region;
  query.Service = context.Service->Name;
  query.Version = version;
  query.TeamRegions = context.TeamRegions;
  query.Spill = context.Service->Spill;
  query.RandomA = random();
  query.RandomB = random();
  return placeRequest(context.Current->Conf, vms, query, monoNow());
}

void logPlacement(const RequestContext &context, const PlacedSlot &slot,
                  const std::string &reason) {
  if (!context.Owner.Conf.LogDecisions)
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
                       const TargetId &avoid, SlotPatience patience) {
  VmViews vms = knownVms(context.Owner);
  std::vector<PlacementChoice> owners = choices(context, *vms, version);
  SlotQuery query = makeQuery(context, version, avoid);
  Placement result;
  std::size_t asked = 0;
  for (const PlacementChoice &it : owners) {
    const VmView *view = findView(*vms, it.Owner);
    if (!view || asked++ >= MaxImmediateAsks)
      continue;
    if (tryOwner(context, it, *view, query, result)) {
      logPlacement(context, *result.Slot, it.Reason);
      return result;
    }
  }
  // No slot is free at once: wait at the nearest owner that has targets.
  query.Remaining = timeLeft(context);
  query.MaxWait = std::min(LongestWait, query.Remaining * 3 / 4);
  for (const PlacementChoice &it : owners) {
    const VmView *view = findView(*vms, it.Owner);
    if (!view || query.MaxWait <= Duration(0) ||
        patience == SlotPatience::FreeNow)
      continue;
    result.Reason.clear();
    if (tryOwner(context, it, *view, query, result)) {
      logPlacement(context, *result.Slot, "queued");
      return result;
    }
    if (result.Reason == "overload")
      break;
    query.Remaining = timeLeft(context);
    query.MaxWait = std::min(LongestWait, query.Remaining * 3 / 4);
  }
  if (result.Reason.empty())
    result.Reason = "no-target";
  return result;
}

void releasePlaced(RequestContext &context, const PlacedSlot &slot,
                   SlotResult result, Duration took, std::int64_t bytes) {
  Daemon &daemon = context.Owner;
  if (slot.OtherRegion)
    settleLink(daemon, slot.Region, slot.ReservedBytes, bytes);
  if (slot.Owner.Vm == daemon.Conf.Vm)
    releaseOwnSlot(daemon, slot.Grant.Target, slot.Grant.Number, result, took);
  else
    sendRelease(daemon, slot.Owner, slot.Grant.Target, slot.Grant.Number,
                result, took);
}

} // namespace savorylb
