#include "processing_times.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Round trip to the targets of a zone until this VM has opened a connection to
/// one of them.
constexpr double SameZoneMs = 1;
constexpr double SameRegionMs = 4;
constexpr double OtherRegionMs = 50;
/// Initial processing times of a service's first route, as fractions of its
/// latency target.
constexpr double InitialCachedFraction = 0.45;
constexpr double InitialUncachedFraction = 1.4;
/// Weight of one response in the smoothed processing time.
constexpr double ProcessingTimeWeight = 0.05;

/// Ratio to the expected time of an uncached execution from which a response
/// shows that the target is slow.
constexpr double ClearlySlow = 1.5;

/// Updates the mean of the class to which a processing time is closer. Used
/// with replicas, where an object is requested from one of its targets too
/// rarely by one VM to tell otherwise whether it was cached.
void recordByMagnitude(ServiceState::ProcessingTime &mean, double tookMs) {
  bool cached = tookMs < std::sqrt(mean.CachedMs * mean.UncachedMs);
  double &value = cached ? mean.CachedMs : mean.UncachedMs;
  value += ProcessingTimeWeight * (tookMs - value);
}

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

ServiceState::ProcessingTime &processingTime(ServiceState &service,
                                             const RouteRule &route) {
  auto known = service.ProcessingTimes.find(route.Id);
  if (known != service.ProcessingTimes.end())
    return known->second;
  double target = static_cast<double>(route.LatencyTarget.count());
  ServiceState::ProcessingTime first{InitialCachedFraction * target,
                                     InitialUncachedFraction * target};
  // Requests of a new route are likely to resemble those of the other routes.
  if (!service.ProcessingTimes.empty())
    first = service.ProcessingTimes.begin()->second;
  return service.ProcessingTimes.emplace(route.Id, first).first->second;
}

void recordProcessingTime(SteeringState &state, const SteeredRequest &request,
                          const TargetState &target, double tookMs,
                          MonoTime now) {
  ServiceState::ProcessingTime &mean =
      processingTime(state.Services[request.Service], *request.Route);
  double processingMs = std::max(1.0, tookMs - roundTripMs(state, target));
  if (state.Bounds.ObjectReplicas > 1 && request.Route->Affinity) {
    recordByMagnitude(mean, processingMs);
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
