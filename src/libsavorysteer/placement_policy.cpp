#include "placement_policy.h"

#include "savorylb/hash.h"
#include "slot_reservation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace savorylb {
namespace {

/// Cost of each rank relative to a cached execution, so that the target with
/// the first rank is used while it is not busy.
constexpr double RankCost = 0.12;
/// Objects that a target handled for this VM within this time are taken to be
/// still cached. Holds for targets that cache 50 objects.
constexpr Duration CacheRetention = Millis(3000);
/// Cost of a target with all slots occupied, relative to a cached execution.
constexpr double BusyCost = 0.3;
/// Cost of a failure; multiplied by the failure rate of the target. About the
/// time allowed for a request.
constexpr double FailureCostMs = 2000;
/// Cost in ms of sending a kilobyte of request body to another zone. Traffic
/// between zones is billed; a body of 60 kB should leave the zone only if its
/// targets have a queue.
constexpr double CrossZoneMsPerKilobyte = 5;
/// Maximum expected latency of a request that has to queue, as a fraction of
/// the latency target: for the most urgent requests, the reduction per priority
/// level, and the lower bound.
constexpr double QueuedLatencyFraction = 0.95;
constexpr double PriorityStep = 0.12;
constexpr double MinQueuedLatencyFraction = 0.5;
/// A target counts as stuck if its oldest request in flight is older than this
/// multiple of the expected time.
constexpr double StuckFactor = 3;
/// Largest cost of sending a response through other zones, as a fraction of the
/// latency target, so that saving bytes does not make a response late.
constexpr double MaxResponseCostFraction = 0.5;
/// Random part of the cost relative to a cached execution. VMs that know the
/// same loads would otherwise all choose the same target.
constexpr double TieSpread = 0.15;
/// Cost of a further replica relative to the time that an uncached execution
/// takes longer, so that it is used only when the first one has a queue: it may
/// have lost the object, and after a start it never had it.
constexpr double FurtherReplicaCost = 0.4;
/// Cost of an uncached execution at a target that should not have the object,
/// relative to the time that it takes longer: it occupies the slot for longer
/// and evicts another object.
constexpr double UnassignedCost = 2;
constexpr Duration MinRetryAfter = Millis(100);
constexpr Duration MaxRetryAfter = Millis(1000);

struct Estimate {
  double LatencyMs = 0;
  double UncachedMs = 0;
  double Cost = 0;
  bool FreeSlot = false;
};

double toMs(Duration span) {
  return static_cast<double>(span.count()) / 1000.0;
}

/// \returns the cost of a rank in ms.
double rankCost(const PlacementRequest &request, int rank) {
  if (!request.Demands || rank < 1)
    return RankCost * request.CachedMs * std::max(0, rank);
  double longer = std::max(0.0, request.UncachedMs - request.CachedMs);
  return FurtherReplicaCost * longer + RankCost * request.CachedMs * (rank - 1);
}

/// \returns the cost in ms of sending the response through another zone.
double responseCost(const PlacementRequest &request) {
  return std::min(CrossZoneMsPerKilobyte * request.ResponseBytes / 1000.0,
                  MaxResponseCostFraction *
                      static_cast<double>(request.LatencyTarget.count()));
}

/// \returns a number from 0 to 1 that depends on the draw and the target.
double randomFraction(std::uint64_t draw, const TargetId &target) {
  constexpr std::uint64_t Steps = 1 << 16;
  return static_cast<double>(stableHash(target.Value, draw) % Steps) / Steps;
}

Estimate estimate(const PlacementRequest &request,
                  const PlacementCandidate &candidate, int rank, MonoTime now) {
  const TargetState &target = *candidate.Target;
  double slots = std::max(1, target.Entry.Slots);
  double requests = expectedRequests(target, now);
  double slow = currentSlowness(target, now) * machineSlowness(target, now);
  bool known = knownCached(target, request.Object, now);
  bool cached = !request.Object.empty() && (rank >= 0 || known);
  double work = slow * (cached ? request.CachedMs : request.UncachedMs);
  double slotMs = request.SlotMs > 0 ? request.SlotMs : request.CachedMs;
  double usable = std::max(1.0, slots * (1 - request.ReservedFraction));
  double queued = std::max(0.0, requests + 1 - usable) / slots * slow * slotMs;
  Estimate result;
  result.FreeSlot = requests + 1 <= usable;
  result.LatencyMs = candidate.RoundTripMs + work + queued;
  if (!target.InFlight.empty()) {
    double oldest = toMs(now - target.InFlight.front());
    if (oldest > StuckFactor * (work + queued) + candidate.RoundTripMs)
      result.LatencyMs += oldest;
  }
  result.UncachedMs =
      result.LatencyMs + slow * std::max(0.0, request.UncachedMs) - work;
  double busy = std::min(1.0, requests / slots);
  result.Cost = result.LatencyMs + request.CachedMs * BusyCost * busy * busy +
                rankCost(request, rank) +
                FailureCostMs * currentFailureRate(target, now);
  if (target.Entry.Zone != request.Zone)
    result.Cost += CrossZoneMsPerKilobyte *
                       static_cast<double>(request.BodyBytes) / 1000.0 +
                   responseCost(request);
  if (request.Demands && !cached)
    result.Cost += UnassignedCost * slow *
                   std::max(0.0, request.UncachedMs - request.CachedMs);
  if (request.Demands)
    result.Cost += TieSpread * request.CachedMs *
                   randomFraction(request.Draw, target.Entry.Id);
  return result;
}

bool wasTried(const PlacementRequest &request, const TargetId &id) {
  return std::find(request.Tried.begin(), request.Tried.end(), id) !=
         request.Tried.end();
}

/// Assumed utilization of all slots, from which the load of a region is
/// estimated.
constexpr double AssumedUtilization = 0.65;
/// Resolution at which a hash is mapped to a fraction.
constexpr std::uint64_t HashSteps = 1 << 20;

/// \returns the fraction of the objects that are assigned to targets of the
///          region. If the region's targets cannot serve its share of the
///          requests, the other objects are assigned to other regions. All
///          regions are assumed to receive the same number of requests.
double assignedFraction(const RegionId &region,
                        const std::vector<PlacementCandidate> &candidates) {
  double own = 0;
  double all = 0;
  std::set<RegionId> regions;
  for (const PlacementCandidate &it : candidates) {
    double slots = std::max(1, it.Target->Entry.Slots);
    all += slots;
    own += it.Target->Region == region ? slots : 0;
    regions.insert(it.Target->Region);
  }
  if (own <= 0 || regions.size() < 2)
    return 1;
  return std::min(1.0, own * static_cast<double>(regions.size()) / all /
                           AssumedUtilization);
}

/// \returns whether an object belongs to a fraction of all objects.
bool isInFraction(std::uint64_t objectHash, double fraction) {
  return static_cast<double>(objectHash % HashSteps) <
         fraction * static_cast<double>(HashSteps);
}

/// Gives rank 0 to the first target of an order, and rank 1 to the others that
/// should have the object.
/// \returns the number of replicas.
int rankReplicas(const PlacementRequest &request, double fraction,
                 const std::vector<PlacementCandidate> &candidates,
                 std::vector<ReplicaSlot> &order, std::vector<int> &ranks,
                 MonoTime now) {
  if (order.empty())
    return 0;
  double slots = 0;
  for (const ReplicaSlot &it : order)
    slots += std::max(1, candidates[it.Index].Target->Entry.Slots);
  ReplicaDemand demand;
  demand.Vms = request.RegionVms;
  demand.Targets = static_cast<int>(order.size());
  demand.TargetPerSecond = slots / static_cast<double>(order.size()) /
                           std::max(1.0, request.CachedMs) * 1000.0;
  demand.AssignedFraction = fraction;
  int n = replicaCount(*request.Demands, request.Object, request.Replicas,
                       demand, now);
  selectReplicas(order, static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i)
    ranks[order[static_cast<std::size_t>(i)].Index] = std::min(i, 1);
  return n;
}

} // namespace

bool knownCached(const TargetState &target, const std::string &object,
                 MonoTime now) {
  auto it = target.Objects.find(object);
  return it != target.Objects.end() && now - it->second <= CacheRetention;
}

std::vector<int>
objectRanks(const std::string &object, const RegionId &region,
            const std::vector<PlacementCandidate> &candidates) {
  std::vector<int> ranks(candidates.size(), -1);
  if (object.empty())
    return ranks;
  std::uint64_t seed = stableHash(object);
  bool inRegion = isInFraction(seed, assignedFraction(region, candidates));
  using Weighted = std::pair<std::uint64_t, std::size_t>;
  Weighted near{0, candidates.size()};
  Weighted far{0, candidates.size()};
  Weighted second{0, candidates.size()};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const TargetState &target = *candidates[i].Target;
    Weighted it{stableHash(target.Entry.Id.Value, seed), i};
    if (target.Region == region) {
      near = std::max(near, it);
    } else if (it > far) {
      second = far;
      far = it;
    } else {
      second = std::max(second, it);
    }
  }
  std::array<Weighted, 2> order = inRegion
                                      ? std::array<Weighted, 2>{near, far}
                                      : std::array<Weighted, 2>{far, second};
  int rank = 0;
  for (const Weighted &it : order)
    if (it.second < candidates.size())
      ranks[it.second] = rank++;
  return ranks;
}

std::vector<int> replicaRanks(const PlacementRequest &request,
                              const std::vector<PlacementCandidate> &candidates,
                              MonoTime now) {
  std::vector<int> ranks(candidates.size(), -1);
  if (request.Object.empty())
    return ranks;
  std::uint64_t seed = stableHash(request.Object);
  std::vector<ReplicaSlot> near;
  std::vector<ReplicaSlot> far;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const TargetState &target = *candidates[i].Target;
    auto &order = target.Region == request.Region ? near : far;
    order.push_back(
        {stableHash(target.Entry.Id.Value, seed), i, &target.Entry.Zone});
  }
  double fraction = assignedFraction(request.Region, candidates);
  if (near.empty() || !isInFraction(seed, fraction)) {
    rankReplicas(request, 1, candidates, far, ranks, now);
    return ranks;
  }
  rankReplicas(request, fraction, candidates, near, ranks, now);
  if (!far.empty()) {
    selectReplicas(far, 1);
    ranks[far.front().Index] = 2;
  }
  return ranks;
}

PlacementChoice placeRequest(const PlacementRequest &request,
                             const std::vector<PlacementCandidate> &candidates,
                             MonoTime now) {
  PlacementChoice choice;
  Estimate best;
  double leastLatencyMs = 0;
  std::vector<int> ranks =
      request.Demands ? replicaRanks(request, candidates, now)
                      : objectRanks(request.Object, request.Region, candidates);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate &it = candidates[i];
    if (wasTried(request, it.Target->Entry.Id))
      continue;
    Estimate found = estimate(request, it, ranks[i], now);
    if (!choice.Target || found.Cost < best.Cost) {
      choice.Target = it.Target;
      best = found;
    }
    leastLatencyMs = leastLatencyMs == 0
                         ? found.LatencyMs
                         : std::min(leastLatencyMs, found.LatencyMs);
  }
  if (!choice.Target) {
    choice.Reason = "no-target";
    choice.RetryAfter = MaxRetryAfter;
    return choice;
  }
  if (request.ReservedFraction > 0 && !best.FreeSlot &&
      toMs(request.Elapsed) <
          DeferFraction * static_cast<double>(request.LatencyTarget.count())) {
    choice.Target = nullptr;
    choice.Reason = "reserved";
    choice.Defer = DeferInterval;
    choice.RetryAfter = MinRetryAfter;
    return choice;
  }
  choice.ExpectedMs = best.LatencyMs;
  choice.Queued = !best.FreeSlot;
  choice.ExpectedUncachedMs = best.UncachedMs;
  double fraction =
      std::max(MinQueuedLatencyFraction,
               QueuedLatencyFraction - PriorityStep * request.Priority);
  if (request.MaxLatencyFraction > 0)
    fraction = request.MaxLatencyFraction;
  double boundMs =
      fraction * static_cast<double>(request.LatencyTarget.count()) -
      toMs(request.Elapsed);
  bool inTime = best.LatencyMs <= boundMs;
  bool beforeDeadline = best.LatencyMs < toMs(request.Remaining);
  // Use a free slot even if the estimate exceeds the bound; otherwise a wrong
  // estimate would never be corrected.
  if ((beforeDeadline && inTime) || best.FreeSlot)
    return choice;
  choice.Target = nullptr;
  choice.Reason = "overload";
  auto wait = Duration(static_cast<Duration::rep>(
      std::max(0.0, leastLatencyMs - std::max(0.0, boundMs)) * 1000.0));
  choice.RetryAfter =
      std::clamp(wait, Duration(MinRetryAfter), Duration(MaxRetryAfter));
  return choice;
}

} // namespace savorylb
