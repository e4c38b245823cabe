#ifndef SAVORYLB_SLOT_RESULT_H
#define SAVORYLB_SLOT_RESULT_H

namespace savorylb {

/// How a granted request ended, as its forwarding VM reports it.
enum class SlotResult { Done, Failed, Shed, TimedOut, Unused };

} // namespace savorylb

#endif // SAVORYLB_SLOT_RESULT_H
