#ifndef SAVORYLB_PLACEMENT_POLICY_H
#define SAVORYLB_PLACEMENT_POLICY_H

#include "steer_config.h"
#include "target_state.h"

#include <optional>
#include <vector>

namespace savorylb {

/// What counts for choosing a target of one request.
struct PlacementRequest {
  /// The object that the request concerns; empty when it has none.
  std::string Object;
  ZoneId Zone;
  RegionId Region;
  /// Bytes of the request's body.
  std::int64_t BodyBytes = 0;
  Millis LatencyTarget{0};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Time since the request arrived.
  Duration Elapsed{0};
  /// Time until its deadline.
  Duration Left{0};
  /// Mean time that a target works on such a request when it has the object
  /// cached, and when it has not.
  double CachedMs = 0;
  double UncachedMs = 0;
  /// Targets that the request was sent to before.
  std::vector<TargetId> Tried;
};

/// A target that may take the request, and the round trip to it.
struct PlacementCandidate {
  TargetState *Target = nullptr;
  double RoundTripMs = 0;
};

/// The chosen target, or why there is none.
struct PlacementChoice {
  TargetState *Target = nullptr;
  /// Expected time from now to the response.
  double ExpectedMs = 0;
  /// The same when the object is not cached.
  double ExpectedUncachedMs = 0;
  /// When a refused request is likely to be served.
  Duration RetryAfter{0};
  /// `no-target`, `overload` or empty.
  const char *Reason = "";
};

/// Chooses the target for a request, or refuses it.
///
/// Answers sustained load above the slots of the targets: what could be served
/// neither in time nor in a free slot is refused at once, so that the queues
/// at the targets stay short and the served requests are in time. Less urgent
/// requests of a service are refused at shorter queues.
///
/// Objects are spread by rendezvous hashing with bounded loads: every VM knows
/// without messages which target of its region, and which one elsewhere, should
/// have an object cached; objects beyond what the region's targets can serve
/// have two elsewhere. The first of them is taken until its queue or
/// its distance costs more than the next one, and a target without the object
/// only when that costs less than an uncached execution.
/// \param request the request.
/// \param candidates targets that the configuration allows.
/// \param now the current time.
/// \returns the choice.
PlacementChoice placeRequest(const PlacementRequest &request,
                             const std::vector<PlacementCandidate> &candidates,
                             MonoTime now);

/// Names the targets that should have an object cached.
/// \param object the object.
/// \param region the region that the requests come from.
/// \param candidates the targets in use.
/// \returns for each candidate its rank, or -1 when it should not.
std::vector<int> objectRanks(const std::string &object, const RegionId &region,
                             const std::vector<PlacementCandidate> &candidates);

/// \returns whether this VM has lately seen the target handle the object.
bool knownCached(const TargetState &target, const std::string &object,
                 MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_POLICY_H
