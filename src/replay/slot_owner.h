#ifndef SAVORYLB_REPLAY_SLOT_OWNER_H
#define SAVORYLB_REPLAY_SLOT_OWNER_H

#include "savorylb/fair_queue.h"
#include "savorylb/slot_table.h"

namespace savorylb::replay {

/// A VM that owns targets, and its clock's offset from the simulation's clock.
struct SlotOwner {
  SlotTable Table;
  FairQueue Queue;
  Duration ClockOffset{};
  bool Up = true;

  MonoTime clock(Duration now) const { return MonoTime(ClockOffset + now); }
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SLOT_OWNER_H
