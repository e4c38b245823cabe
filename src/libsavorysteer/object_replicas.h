#ifndef SAVORYLB_OBJECT_REPLICAS_H
#define SAVORYLB_OBJECT_REPLICAS_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace savorylb {

/// Limits of the replicas of a service's objects.
struct ReplicaLimits {
  /// Replicas of an object that is not popular; 1 turns replicas off.
  int AtRest = 1;
  /// Objects of one service that a target is expected to keep cached.
  int CachedObjects = 12;
};

/// Recent requests for one object at this VM.
struct ObjectDemand {
  /// Requests per second, smoothed.
  double PerSecond = 0;
  MonoTime UpdatedAt{};
  /// Replicas that the object has for its popularity.
  int Replicas = 1;
  /// When Replicas was last changed.
  MonoTime ResizedAt{};
};

/// Recent requests for the objects of one service at this VM.
struct ObjectDemands {
  std::unordered_map<std::string, ObjectDemand> Objects;
};

/// What the number of an object's replicas depends on, besides its demand.
struct ReplicaDemand {
  /// VMs that receive requests for the object in the region.
  int Vms = 1;
  /// Targets of the region that may serve the object.
  int Targets = 1;
  /// Requests per second that a target serves at full load if the object is
  /// cached.
  double TargetPerSecond = 1;
  /// Fraction of the service's objects that is assigned to the region.
  double AssignedFraction = 1;
};

/// Counts one request for an object. Forgets the object that was requested
/// longest ago when there are too many.
void countObjectRequest(ObjectDemands &demands, const std::string &object,
                        MonoTime now);

/// \returns the requests per second for an object at this VM.
double objectRate(const ObjectDemand &demand, MonoTime now);

/// Determines how many targets of the region should have an object cached.
///
/// Answers popular objects: no replica is asked for more than MaxReplicaLoad of
/// what a target serves, so the number grows with the demand at once and
/// shrinks step by step. Other objects have AtRest replicas, fewer if the
/// targets' caches do not hold as many, so that requests can avoid a busy
/// target without an uncached execution.
/// \param demands stores the number, as growth and decline differ.
/// \returns at least 1 and at most `demand.Targets`.
int replicaCount(ObjectDemands &demands, const std::string &object,
                 const ReplicaLimits &limits, const ReplicaDemand &demand,
                 MonoTime now);

/// A target that may have a replica of an object.
struct ReplicaSlot {
  /// Rendezvous hash of the object and the target.
  std::uint64_t Hash = 0;
  /// Index of the target, for the caller.
  std::size_t Index = 0;
  const ZoneId *Zone = nullptr;
};

/// Moves the targets that have the replicas of an object to the front: first
/// the preferred target of each availability zone, so that requests can stay in
/// their zone, then others by their hash. Every VM derives the same order.
/// \param n number of replicas, at most the number of targets.
void selectReplicas(std::vector<ReplicaSlot> &slots, std::size_t n);

/// Largest fraction of a target's capacity that one object's requests may use.
constexpr double MaxReplicaLoad = 0.7;

} // namespace savorylb

#endif // SAVORYLB_OBJECT_REPLICAS_H
