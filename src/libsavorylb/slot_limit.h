#ifndef SAVORYLB_SLOT_LIMIT_H
#define SAVORYLB_SLOT_LIMIT_H

#include "savorylb/slot_table.h"

namespace savorylb {

/// What a target may be granted at one moment.
struct SlotLimit {
  /// Slots that may be busy; with Probe, slots that a probe may use.
  int Slots = 0;
  /// The target is out and gets one request to see whether it works again.
  bool Probe = false;
};

/// \returns the target's limit now.
SlotLimit slotLimit(const OwnedTarget &target, Duration warmUp, MonoTime now);

/// \returns slots granted or possibly in use by an earlier owner's requests.
int busySlots(const OwnedTarget &target, MonoTime now);

/// \param busy what busySlots() returned.
/// \returns how many of the limit's slots are free.
int freeSlots(const OwnedTarget &target, const SlotLimit &limit, int busy);

/// Records a failed request or probe and takes the target out when it is due.
void countFailure(OwnedTarget &target, MonoTime now);

/// Notes the end of a request that was granted as a probe.
void endProbe(OwnedTarget &target, SlotResult result, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_SLOT_LIMIT_H
