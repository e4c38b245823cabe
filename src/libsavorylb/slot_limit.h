#ifndef SAVORYLB_SLOT_LIMIT_H
#define SAVORYLB_SLOT_LIMIT_H

#include "savorylb/slot_table.h"

namespace savorylb {

/// Limit on the slots of a target at one time.
struct SlotLimit {
  /// Slots that may be busy; if Probe is set, slots that a probe may use.
  int Slots = 0;
  /// The target is unhealthy or reports no slots, and gets one request as a
  /// probe.
  bool Probe = false;
};

/// Computes a target's slot limit from its health, warm-up and load reports.
/// \param warmUp length of the service's warm-up.
SlotLimit slotLimit(const OwnedTarget &target, Duration warmUp, MonoTime now);

/// Counts the slots that are granted or may be in use by requests of a previous
/// owner.
int busySlots(const OwnedTarget &target, MonoTime now);

/// Counts the slots within the limit that are free.
/// \param busy result of busySlots() for the target.
int freeSlots(const OwnedTarget &target, const SlotLimit &limit, int busy);

/// Records a failed request or health probe. The target becomes unhealthy after
/// FailureLimit consecutive failures.
void recordFailure(OwnedTarget &target, MonoTime now);

/// Records the end of a request that was granted as a probe.
void recordProbeResult(OwnedTarget &target, SlotResult result, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_SLOT_LIMIT_H
