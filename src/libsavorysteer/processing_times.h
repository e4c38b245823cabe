#ifndef SAVORYLB_PROCESSING_TIMES_H
#define SAVORYLB_PROCESSING_TIMES_H

#include "steering_state.h"

namespace savorylb {

/// \returns the round trip to a target in ms.
double roundTripMs(const SteeringState &state, const TargetState &target);

/// \returns the mean processing times of a route's requests at a service;
///          estimates from the route's latency target until there are
///          responses.
ProcessingTime &processingTime(ServiceState &service, const RouteRule &route);

/// Updates the mean processing times from one response, if it can be told
/// whether the target had the object cached.
void recordProcessingTime(SteeringState &state, const SteeredRequest &request,
                          const TargetState &target, double tookMs,
                          MonoTime now);

/// Updates the means of the size of a route's responses and of the time for
/// which a request holds a slot of the service.
void recordResponse(SteeringState &state, const SteeredRequest &request,
                    const TargetState &target, const SendOutcome &outcome,
                    double tookMs);

/// \returns the ratio of a response time to the expected one, or -1 without an
///          expected time. If the execution may have been uncached, the ratio
///          is at least 1 and relates to the expected uncached time.
double relativeTime(const SteeredRequest &request, const TargetState &target,
                    const SendOutcome &outcome, double tookMs, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_PROCESSING_TIMES_H
