#ifndef SAVORYLB_HEADROOM_H
#define SAVORYLB_HEADROOM_H

#include "savorylb/vm_view.h"

namespace savorylb {

/// Free slots less what age makes doubtful: figures at the silence limit count
/// for half, so that a fresh figure wins over an equal older one.
/// \param freeSlots published free slots.
/// \param age age of the figure.
/// \returns free slots to reckon with, never below zero.
double agedFreeSlots(int freeSlots, Duration age);

} // namespace savorylb

#endif // SAVORYLB_HEADROOM_H
