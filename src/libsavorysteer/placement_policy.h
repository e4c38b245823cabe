#ifndef SAVORYLB_PLACEMENT_POLICY_H
#define SAVORYLB_PLACEMENT_POLICY_H

#include "object_replicas.h"
#include "steer_config.h"
#include "target_state.h"

#include <optional>
#include <vector>

namespace savorylb {

/// Properties of a request that determine the choice of its target.
struct PlacementRequest {
  /// Key of the object that the request reads; empty if it has none.
  std::string Object;
  ZoneId Zone;
  RegionId Region;
  /// Size of the request body.
  std::int64_t BodyBytes = 0;
  Millis LatencyTarget{0};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Time since the request arrived.
  Duration Elapsed{0};
  /// Time until its deadline.
  Duration Remaining{0};
  /// Mean processing time at a target that has the object cached.
  double CachedMs = 0;
  /// Mean processing time at a target that does not.
  double UncachedMs = 0;
  /// Targets to which the request was already sent.
  std::vector<TargetId> Tried;
  /// Mean time for which the requests in a target's queue hold a slot; 0 to use
  /// CachedMs.
  double SlotMs = 0;
  /// Largest expected latency of a request that has to queue, as a fraction of
  /// the latency target; 0 to derive it from the priority.
  double MaxLatencyFraction = 0;
  /// Part of each target's slots that is left to more urgent requests.
  double ReservedFraction = 0;
  ReplicaLimits Replicas;
  /// Recent requests for objects; null without replicas.
  ObjectDemands *Demands = nullptr;
  /// VMs of Region, which receive requests for the same objects.
  int RegionVms = 1;
  /// Expected size of the response.
  double ResponseBytes = 0;
  /// Random number that breaks ties between targets.
  std::uint64_t Draw = 0;
};

/// A target that may serve the request, and the round trip to it.
struct PlacementCandidate {
  TargetState *Target = nullptr;
  double RoundTripMs = 0;
};

/// The chosen target, or why there is none.
struct PlacementChoice {
  TargetState *Target = nullptr;
  /// Expected time until the response.
  double ExpectedMs = 0;
  /// Expected time until the response if the object is not cached.
  double ExpectedUncachedMs = 0;
  /// Delay after which a refused request is likely to be served.
  Duration RetryAfter{0};
  /// The best target has no free slot for the request.
  bool Queued = false;
  /// `no-target`, `overload`, `paused`, `reserved`, `stopping` or empty.
  const char *Reason = "";
  /// There is no target yet: the request should be placed again after this
  /// time, when an unreserved slot may be free. 0 otherwise.
  Duration Defer{0};
  /// There is no target because all that are left are paused.
  bool AllPaused = false;
};

/// Chooses the target for a request, or refuses it.
///
/// Refuses a request immediately if the chosen target has no free slot and the
/// request is not expected to finish in time. Under sustained overload, this
/// keeps the queues at the targets short, so that the admitted requests finish
/// in time. Less urgent requests of a service are refused at shorter queues.
///
/// Objects are assigned to targets by rendezvous hashing; the fraction assigned
/// within a region is limited by its slots. Every VM derives without messages
/// which target of its region, and which target of another region, should have
/// an object cached. Objects beyond the capacity of the region's targets are
/// assigned to two targets in other regions. The first assigned target is used
/// until its queue or distance makes it more expensive than the second. A
/// target without the object is used only if that costs less in spite of the
/// uncached execution.
/// \param candidates targets that the configuration allows.
PlacementChoice placeRequest(const PlacementRequest &request,
                             const std::vector<PlacementCandidate> &candidates,
                             MonoTime now);

/// Determines the targets that should have an object cached.
/// \param region the region in which the requests arrive.
/// \returns the rank of each candidate, 0 for the preferred one, or -1 if it is
///          not assigned the object.
std::vector<int> objectRanks(const std::string &object, const RegionId &region,
                             const std::vector<PlacementCandidate> &candidates);

/// Determines the replicas of an object if objects have several: the first one
/// of the region's order has rank 0, the others have rank 1, and one in another
/// region has rank 2. An
/// object that is not assigned to the region has all its replicas elsewhere;
/// they are among those of the other regions' callers.
/// \returns the rank of each candidate, or -1 if it is not assigned the object.
std::vector<int> replicaRanks(const PlacementRequest &request,
                              const std::vector<PlacementCandidate> &candidates,
                              MonoTime now);

/// \returns whether the target recently handled the object for this VM.
bool knownCached(const TargetState &target, const std::string &object,
                 MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_POLICY_H
