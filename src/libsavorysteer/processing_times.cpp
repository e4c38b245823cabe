#include "processing_times.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Round trip to the targets of a zone until this VM has opened a connection to
/// one of them.
constexpr double SameZoneMs = 1;
constexpr double SameRegionMs = 4;
constexpr double OtherRegionMs = 50;
/// Initial processing times of a route, as fractions of its latency target.
constexpr double InitialCachedFraction = 0.45;
constexpr double InitialUncachedFraction = 1.4;

/// Ratio to the expected time of an uncached execution from which a response
/// shows that the target is slow.
constexpr double ClearlySlow = 1.5;

} // namespace

double roundTripMs(const SteeringState &state, const TargetState &target) {
  auto it = state.RoundTripMs.find(target.Entry.Zone);
  if (it != state.RoundTripMs.end())
    return it->second;
  const VmEntry &self = state.Fleet.Self;
  if (target.Entry.Zone == self.Zone)
    return SameZoneMs;
  return target.Region == self.Region ? SameRegionMs : OtherRegionMs;
}

ProcessingTime &processingTime(ServiceState &service, const RouteRule &route) {
  auto known = service.ProcessingTimes.find(route.Id);
  if (known != service.ProcessingTimes.end())
    return known->second;
  double target = static_cast<double>(route.LatencyTarget.count());
  ProcessingTime first{InitialCachedFraction * target,
                       InitialUncachedFraction * target};
  return service.ProcessingTimes.emplace(route.Id, first).first->second;
}

void recordProcessingTime(SteeringState &state, const SteeredRequest &request,
                          const TargetState &target, double tookMs,
                          MonoTime now) {
  ProcessingTime &mean =
      processingTime(state.Services[request.Service], *request.Route);
  double processingMs = std::max(1.0, tookMs - roundTripMs(state, target));
  // With replicas, one VM requests an object from one of its targets too rarely
  // to tell otherwise whether it was cached.
  if (state.Bounds.ObjectReplicas > 1 && request.Route->Affinity) {
    addProcessingSample(mean, processingMs,
                        knownCached(target, request.Object, now));
    return;
  }
  bool seen = target.Objects.count(request.Object) > 0;
  if (knownCached(target, request.Object, now))
    mean.CachedMs += ProcessingTimeWeight * (processingMs - mean.CachedMs);
  else if (!seen && processingMs > mean.CachedMs)
    mean.UncachedMs += ProcessingTimeWeight * (processingMs - mean.UncachedMs);
}

void recordResponse(SteeringState &state, const SteeredRequest &request,
                    const TargetState &target, const SendOutcome &outcome,
                    double tookMs) {
  ServiceState &service = state.Services[request.Service];
  auto [bytes, first] = service.ResponseBytes.emplace(
      request.Route->Id, static_cast<double>(outcome.ResponseBytes));
  if (!first)
    bytes->second +=
        ProcessingTimeWeight *
        (static_cast<double>(outcome.ResponseBytes) - bytes->second);
  // The time of a request that found a queue is not the time in its slot.
  if (!outcome.Load || outcome.Load->Waiting > 0)
    return;
  double slotMs = std::max(1.0, tookMs - roundTripMs(state, target));
  if (service.SlotMs <= 0)
    service.SlotMs = slotMs;
  service.SlotMs += ProcessingTimeWeight * (slotMs - service.SlotMs);
}

double relativeTime(const SteeredRequest &request, const TargetState &target,
                    const SendOutcome &outcome, double tookMs, MonoTime now) {
  if (outcome.ExpectedMs <= 0)
    return -1;
  if (knownCached(target, request.Object, now))
    return tookMs / outcome.ExpectedMs;
  double relative =
      tookMs / std::max(outcome.ExpectedMs, outcome.ExpectedUncachedMs);
  // Most responses of a large fleet come from a target that this VM does not
  // know to have the object, so a minimum of 1 would raise the mean.
  if (outcome.LoadsShared)
    return relative < ClearlySlow ? 1 : relative;
  return std::max(1.0, relative);
}

} // namespace savorylb
