#ifndef SAVORYLB_SLOT_RESERVATION_H
#define SAVORYLB_SLOT_RESERVATION_H

#include "steer_config.h"

#include <map>

namespace savorylb {

/// Recent requests of one urgency for a service at this VM.
struct PriorityDemand {
  /// Requests per second, smoothed.
  double PerSecond = 0;
  MonoTime UpdatedAt{};
  /// Time for which such a request holds a slot.
  double SlotMs = 0;
  /// Longest wait in a queue after which such a request is still in time.
  double QueueMarginMs = 0;
};

/// Recent requests for a service at this VM, the most urgent ones first.
using PriorityDemands = std::map<Urgency, PriorityDemand>;

/// Counts a request for the service.
/// \param slotMs time for which it is expected to hold a slot.
/// \param latencyTarget latency target of its route.
void countPriority(PriorityDemands &demands, const Urgency &urgency,
                   double slotMs, Millis latencyTarget, MonoTime now);

/// Determines the longest queue into which requests of an urgency are sent.
///
/// Answers long requests that can wait beside short urgent ones that cannot: a
/// target runs its queue in order of arrival, so a queue that is short against
/// the latency target of the long requests makes the short ones late. The long
/// ones wait in the VM instead.
/// \param slotMs time for which a request of the urgency holds a slot.
/// \returns the time in ms that a request which joins the queue may wait;
///          infinite without recent shorter requests that are more urgent.
double maxQueueMs(const PriorityDemands &demands, const Urgency &urgency,
                  double slotMs, MonoTime now);

/// Determines the part of a target's slots that requests of an urgency leave to
/// more urgent ones.
///
/// Answers long requests of low priority beside short urgent ones: without a
/// reservation, the long ones hold all slots, and the urgent ones wait for
/// several times their own duration. The part follows the recent demand of the
/// urgent requests, so slots that they do not use are free for all.
/// Requests that hold a slot for about as long as the urgent ones reserve
/// nothing for them.
/// \param slotMs time for which a request of the urgency holds a slot.
/// \param vms VMs that receive such requests.
/// \param slots slots of all targets of the service.
/// \returns 0 to MaxReservedFraction.
double reservedFraction(const PriorityDemands &demands, const Urgency &urgency,
                        double slotMs, int vms, int slots, MonoTime now);

/// Largest part of a target's slots that is reserved.
constexpr double MaxReservedFraction = 0.5;

/// How long a request waits in the VM for an unreserved slot or a shorter
/// queue, as a fraction of its latency target; it is sent into a queue or
/// refused afterwards.
constexpr double DeferFraction = 0.3;
/// Time after which a waiting request is placed again. Short against the time
/// for which requests hold slots.
constexpr Duration DeferInterval = Millis(50);
/// Requests that may wait in a VM at one time.
constexpr int MaxDeferred = 64;

} // namespace savorylb

#endif // SAVORYLB_SLOT_RESERVATION_H
