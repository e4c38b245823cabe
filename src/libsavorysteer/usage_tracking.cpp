#include "usage_tracking.h"

#include "processing_times.h"

#include <algorithm>

namespace savorylb {

std::optional<WallTime> countSend(SteeringState &state,
                                  const SteeredRequest &request, MonoTime now) {
  if (!state.Usage || request.Team.empty() || !state.Usage->Clock.Offset)
    return std::nullopt;
  WallTime begin = fleetTime(state.Usage->Clock, now);
  countUsage(state.Usage->Counts, request.Team, begin);
  return begin;
}

void uncountSend(SteeringState &state, const SteeredRequest &request,
                 std::optional<WallTime> counted) {
  if (state.Usage && counted)
    uncountUsage(state.Usage->Counts, request.Team, *counted);
}

void recountSend(SteeringState &state, const SteeredRequest &request,
                 const TargetState &target, std::optional<WallTime> counted,
                 double loadAtSend, Duration took) {
  if (!state.Usage || !counted || loadAtSend + 1 <= target.Entry.Slots)
    return;
  double processingMs =
      processingTime(state.Services[request.Service], *request.Route).CachedMs;
  double tookMs = static_cast<double>(took.count()) / 1000.0;
  double rttMs = roundTripMs(state, target);
  double waitedMs = rttMs / 2 + std::max(0.0, tookMs - rttMs - processingMs);
  WallTime begin = *counted + Millis(static_cast<Millis::rep>(waitedMs));
  Millis length = state.Usage->Counts.Length;
  if (windowAt(begin, length) == windowAt(*counted, length))
    return;
  uncountUsage(state.Usage->Counts, request.Team, *counted);
  countUsage(state.Usage->Counts, request.Team, begin);
}

} // namespace savorylb
