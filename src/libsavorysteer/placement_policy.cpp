#include "placement_policy.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Part of a service's targets that should have one object cached. A half
/// leaves each zone with several targets a choice and keeps an object's other
/// half of the targets free of it.
constexpr double CachedPart = 0.5;
/// Cost of an uncached execution relative to the mean execution time, which is
/// mostly that of cached ones.
constexpr double UncachedCost = 1.2;
/// Cost of a request that fails with certainty; about a deadline.
constexpr double FailureCostMs = 2000;
/// Cost of sending a kilobyte to another zone; transfers between zones are
/// billed, and 60 kB should cross only when the own zone has a queue.
constexpr double CrossZoneMsPerKilobyte = 5;
/// Part of the latency target that the most urgent requests may be expected to
/// take when they have to queue, and what each priority step takes off.
constexpr double QueueBound = 0.95;
constexpr double PriorityStep = 0.12;
constexpr double MinQueueBound = 0.5;
/// Oldest request in flight at which a target counts as stuck, relative to the
/// expected time.
constexpr double StuckFactor = 3;
constexpr Duration MinRetryAfter = Millis(100);
constexpr Duration MaxRetryAfter = Millis(1000);

struct Estimate {
  double LatencyMs = 0;
  double Cost = 0;
  bool FreeSlot = false;
};

double toMs(Duration span) {
  return static_cast<double>(span.count()) / 1000.0;
}

Estimate estimate(const PlacementRequest &request,
                  const PlacementCandidate &candidate, MonoTime now) {
  const TargetState &target = *candidate.Target;
  double slots = std::max(1, target.Entry.Slots);
  double there = expectedRequests(target, now);
  double work = request.WorkMs * currentSlowness(target, now);
  bool cached = request.Object.empty() ||
                holdsObject(request.Object, target.Entry.Id);
  double uncached = cached ? 0 : UncachedCost * work;
  double queued = std::max(0.0, there + 1 - slots) / slots * work;
  Estimate result;
  result.FreeSlot = there + 1 <= slots;
  result.LatencyMs = candidate.RoundTripMs + work + queued;
  if (!target.InFlight.empty()) {
    double oldest = toMs(now - target.InFlight.front());
    if (oldest > StuckFactor * (work + queued) + candidate.RoundTripMs)
      result.LatencyMs += oldest;
  }
  double busy = std::min(1.0, there / slots);
  result.Cost = result.LatencyMs + uncached + 0.3 * work * busy * busy +
                FailureCostMs * currentFailureRate(target, now);
  if (target.Entry.Zone != request.Zone)
    result.Cost += CrossZoneMsPerKilobyte *
                   static_cast<double>(request.BodyBytes) / 1000.0;
  return result;
}

bool tried(const PlacementRequest &request, const TargetId &id) {
  return std::find(request.Tried.begin(), request.Tried.end(), id) !=
         request.Tried.end();
}

} // namespace

bool holdsObject(const std::string &object, const TargetId &target) {
  std::uint64_t hash = stableHash(target.Value, stableHash(object));
  return static_cast<double>(hash >> 11) * 0x1p-53 < CachedPart;
}

PlacementChoice placeRequest(const PlacementRequest &request,
                             const std::vector<PlacementCandidate> &candidates,
                             MonoTime now) {
  PlacementChoice choice;
  Estimate best;
  double leastQueue = 0;
  for (const PlacementCandidate &it : candidates) {
    if (tried(request, it.Target->Entry.Id))
      continue;
    Estimate found = estimate(request, it, now);
    if (!choice.Target || found.Cost < best.Cost) {
      choice.Target = it.Target;
      best = found;
    }
    leastQueue = leastQueue == 0 ? found.LatencyMs
                                 : std::min(leastQueue, found.LatencyMs);
  }
  if (!choice.Target) {
    choice.Reason = "no-target";
    choice.RetryAfter = MaxRetryAfter;
    return choice;
  }
  choice.ExpectedMs = best.LatencyMs;
  double part = std::max(MinQueueBound,
                         QueueBound - PriorityStep * request.Priority);
  double boundMs = part * static_cast<double>(request.LatencyTarget.count()) -
                   toMs(request.Elapsed);
  bool inTime = best.LatencyMs <= boundMs;
  bool beforeDeadline = best.LatencyMs < toMs(request.Left);
  if (beforeDeadline && (inTime || best.FreeSlot))
    return choice;
  choice.Target = nullptr;
  choice.Reason = "overload";
  auto wait = Duration(static_cast<Duration::rep>(
      std::max(0.0, leastQueue - std::max(0.0, boundMs)) * 1000.0));
  choice.RetryAfter = std::clamp(wait, Duration(MinRetryAfter),
                                 Duration(MaxRetryAfter));
  return choice;
}

} // namespace savorylb
