#ifndef SAVORYLB_STANDINS_SLOT_WAIT_RESULT_H
#define SAVORYLB_STANDINS_SLOT_WAIT_RESULT_H

namespace savorylb::standin {

/// Result of the wait for a slot.
enum class SlotWaitResult { Granted, Closed, DeadlineExceeded };

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SLOT_WAIT_RESULT_H
