#ifndef SAVORYLB_STANDINS_SLOT_ENTRY_H
#define SAVORYLB_STANDINS_SLOT_ENTRY_H

namespace savorylb::standin {

/// How the wait for a slot ended.
enum class SlotEntry { Granted, Closed, TooLate };

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SLOT_ENTRY_H
