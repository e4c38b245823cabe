#ifndef SAVORYLB_USAGE_TRACKING_H
#define SAVORYLB_USAGE_TRACKING_H

#include "fleet_clock.h"
#include "usage_counts.h"

#include <optional>

namespace savorylb {

struct SteeringState;
struct SteeredRequest;
struct TargetState;

/// Usage as this VM counts and collects it; used only with usage reports.
struct UsageTracking {
  FleetClock Clock;
  UsageCounts Counts;
  /// Counts that VMs have sent to this one as holder of the duty.
  UsageCollection Collection;
};

/// Counts a request that is being sent to a target.
/// \returns the time with which it was counted; nothing if it was not.
std::optional<WallTime> countSend(SteeringState &state,
                                  const SteeredRequest &request, MonoTime now);

/// Corrects the count of a send whose target did not run the request.
void uncountSend(SteeringState &state, const SteeredRequest &request,
                 std::optional<WallTime> counted);

/// Corrects the count of a send that was answered, if the target was full and
/// the request probably waited there into the next window.
/// \param counted the time with which it was counted.
/// \param loadAtSend expected requests at the target when it was sent.
/// \param took time from sending to the response.
void recountSend(SteeringState &state, const SteeredRequest &request,
                 const TargetState &target, std::optional<WallTime> counted,
                 double loadAtSend, Duration took);

} // namespace savorylb

#endif // SAVORYLB_USAGE_TRACKING_H
