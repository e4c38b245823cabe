#include "object_replicas.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Time constant of the request rate. Long enough for a rate of one request a
/// second, short enough for a burst of a few seconds.
constexpr Duration RateTimeConstant = Millis(2000);
/// An object loses one replica after this time with a demand that fewer
/// replicas serve, so that a demand near a limit does not change the number
/// with each request.
constexpr Duration ShrinkInterval = Millis(2000);
/// An object loses a replica only if the others would then have at most this
/// fraction of MaxReplicaLoad.
constexpr double ShrinkMargin = 0.8;
/// Bounds the memory of one service's demands; above the number of objects
/// that the targets of a service cache.
constexpr std::size_t MaxObjects = 1024;

double seconds(Duration span) {
  return static_cast<double>(span.count()) / 1e6;
}

int neededReplicas(double perSecond, double replicaPerSecond) {
  return static_cast<int>(
      std::ceil(perSecond / std::max(1e-3, replicaPerSecond)));
}

/// Adapts the number of replicas that an object has for its popularity.
void resize(ObjectDemand &demand, double perSecond, double replicaPerSecond,
            MonoTime now) {
  int needed = std::max(1, neededReplicas(perSecond, replicaPerSecond));
  if (needed > demand.Replicas) {
    demand.Replicas = needed;
    demand.ResizedAt = now;
    return;
  }
  int kept = neededReplicas(perSecond, ShrinkMargin * replicaPerSecond);
  if (kept >= demand.Replicas) {
    demand.ResizedAt = now;
  } else if (demand.Replicas > 1 && now - demand.ResizedAt >= ShrinkInterval) {
    --demand.Replicas;
    demand.ResizedAt = now;
  }
}

} // namespace

double objectRate(const ObjectDemand &demand, MonoTime now) {
  double age = seconds(std::max(Duration::zero(), now - demand.UpdatedAt));
  return demand.PerSecond * std::exp(-age / seconds(RateTimeConstant));
}

void countObjectRequest(ObjectDemands &demands, const std::string &object,
                        MonoTime now) {
  if (object.empty())
    return;
  auto &objects = demands.Objects;
  if (objects.size() >= MaxObjects && !objects.count(object))
    objects.erase(std::min_element(
        objects.begin(), objects.end(), [](const auto &a, const auto &b) {
          return a.second.UpdatedAt < b.second.UpdatedAt;
        }));
  ObjectDemand &demand = objects[object];
  demand.PerSecond = objectRate(demand, now) + 1 / seconds(RateTimeConstant);
  demand.UpdatedAt = now;
}

int replicaCount(ObjectDemands &demands, const std::string &object,
                 const ReplicaLimits &limits, const ReplicaDemand &demand,
                 MonoTime now) {
  int targets = std::max(1, demand.Targets);
  double objects = std::max<double>(
      1, demand.AssignedFraction * static_cast<double>(demands.Objects.size()));
  int cached = static_cast<int>(limits.CachedObjects * targets / objects);
  int atRest = std::clamp(limits.AtRest, 1, std::max(1, cached));
  auto found = demands.Objects.find(object);
  int popular = 1;
  if (found != demands.Objects.end()) {
    resize(found->second, objectRate(found->second, now) * demand.Vms,
           MaxReplicaLoad * demand.TargetPerSecond, now);
    popular = found->second.Replicas;
  }
  return std::clamp(std::max(atRest, popular), 1, targets);
}

void selectReplicas(std::vector<ReplicaSlot> &slots, std::size_t n) {
  auto lower = [](const ReplicaSlot &a, const ReplicaSlot &b) {
    return a.Hash != b.Hash ? a.Hash < b.Hash : a.Index > b.Index;
  };
  bool newZones = true;
  for (std::size_t chosen = 0; chosen < std::min(n, slots.size()); ++chosen) {
    auto first = slots.begin() + static_cast<std::ptrdiff_t>(chosen);
    auto inChosenZone = [&](const ReplicaSlot &it) {
      return std::any_of(slots.begin(), first, [&](const ReplicaSlot &other) {
        return *other.Zone == *it.Zone;
      });
    };
    auto best = slots.end();
    for (auto it = first; it != slots.end(); ++it)
      if ((best == slots.end() || lower(*best, *it)) &&
          !(newZones && inChosenZone(*it)))
        best = it;
    if (best == slots.end()) {
      // Each zone has a replica; from now on the hash alone decides.
      newZones = false;
      best = std::max_element(first, slots.end(), lower);
    }
    std::swap(*first, *best);
  }
}

} // namespace savorylb
