#ifndef SAVORYLB_SLOT_RESULT_H
#define SAVORYLB_SLOT_RESULT_H

namespace savorylb {

/// How a granted request ended, as its forwarding VM reports it.
enum class SlotResult {
  Done,
  Failed,
  Shed,
  TimedOut,
  /// Not sent, or its end says nothing about the target.
  Unused,
  /// Timed out, or left for another reason, and the target may still run it.
  TimedOutBusy,
  LeftBusy,
};

} // namespace savorylb

#endif // SAVORYLB_SLOT_RESULT_H
