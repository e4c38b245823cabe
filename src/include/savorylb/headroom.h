#ifndef SAVORYLB_HEADROOM_H
#define SAVORYLB_HEADROOM_H

#include "savorylb/vm_view.h"

namespace savorylb {

/// Discounts a published number of free slots by its age, so that a recent
/// number is preferred to an equal older one.
/// \param freeSlots free slots that the VM published.
/// \param age time since they were published.
/// \returns the discounted number, never below zero; half of \p freeSlots when
/// the age equals VmSilenceLimit.
double agedFreeSlots(int freeSlots, Duration age);

} // namespace savorylb

#endif // SAVORYLB_HEADROOM_H
