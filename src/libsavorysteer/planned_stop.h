#ifndef SAVORYLB_PLANNED_STOP_H
#define SAVORYLB_PLANNED_STOP_H

#include "savorylb/units.h"

namespace savorylb {

/// Retry delay of a request that a VM does not send because it stops. Other VMs
/// can serve it at once.
constexpr Duration StoppingRetryAfter = Millis(20);

/// A planned stop of a VM. Its phases are, in this order: callers are accepted,
/// idle connections close, responses no longer wait for others, and requests in
/// progress are cut off.
struct PlannedStop {
  /// When the stop signal arrived.
  MonoTime RequestedAt{};
  /// Time from the signal to the end of the process.
  Duration Grace{0};
};

/// \returns when the VM stops accepting connections. Callers have then renewed
///          their lookups, which do not name the VM any longer.
MonoTime acceptsUntil(const PlannedStop &stop);

/// \returns when the VM closes idle connections. A request that was sent on a
///          new connection before acceptsUntil() has been read by then.
MonoTime closesIdleAt(const PlannedStop &stop);

/// \returns from when on a request in progress is cut off if it delays
/// responses
///          of targets to later requests of its connection. They can be written
///          until endsAt().
MonoTime releasesResponsesAt(const PlannedStop &stop);

/// \returns when requests in progress are cut off.
MonoTime cutsOffAt(const PlannedStop &stop);

/// \returns when the process ends, even if responses are still being written.
MonoTime endsAt(const PlannedStop &stop);

/// Decides whether a request may be sent to a target during a stop. A request
/// that is not expected to end before it is cut off is refused, so that its
/// caller learns that it has not run and sends it to another VM.
/// \param expected expected time until the response.
/// \param deadline when the request ends in any case.
bool endsBeforeStop(const PlannedStop &stop, Duration expected,
                    MonoTime deadline, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_PLANNED_STOP_H
