#ifndef SAVORYLB_SLOT_RESERVATION_H
#define SAVORYLB_SLOT_RESERVATION_H

#include "savorylb/units.h"

#include <map>

namespace savorylb {

/// Recent requests of one priority for a service at this VM.
struct PriorityDemand {
  /// Requests per second, smoothed.
  double PerSecond = 0;
  MonoTime UpdatedAt{};
  /// Time for which such a request holds a slot.
  double SlotMs = 0;
};

/// Recent requests for a service at this VM, by priority; 0 is the most urgent.
using PriorityDemands = std::map<int, PriorityDemand>;

/// Counts a request for the service.
/// \param slotMs time for which it is expected to hold a slot.
void countPriority(PriorityDemands &demands, int priority, double slotMs,
                   MonoTime now);

/// Determines the part of a target's slots that requests of a priority leave to
/// more urgent ones.
///
/// Answers long requests of low priority beside short urgent ones: without a
/// reservation, the long ones hold all slots, and the urgent ones wait for
/// several times their own duration. The part follows the recent demand of the
/// urgent requests, so slots that they do not use are free for all.
/// Requests that hold a slot for about as long as the urgent ones reserve
/// nothing for them.
/// \param slotMs time for which a request of the priority holds a slot.
/// \param vms VMs that receive such requests.
/// \param slots slots of all targets of the service.
/// \returns 0 to MaxReservedFraction.
double reservedFraction(const PriorityDemands &demands, int priority,
                        double slotMs, int vms, int slots, MonoTime now);

/// Largest part of a target's slots that is reserved.
constexpr double MaxReservedFraction = 0.5;

/// How long a request waits in the VM for an unreserved slot, as a fraction of
/// its latency target; it is sent into a queue or refused afterwards.
constexpr double DeferFraction = 0.3;
/// Time after which a waiting request is placed again. Short against the time
/// for which requests hold slots.
constexpr Duration DeferInterval = Millis(50);
/// Requests that may wait in a VM at one time.
constexpr int MaxDeferred = 64;

} // namespace savorylb

#endif // SAVORYLB_SLOT_RESERVATION_H
