#ifndef SAVORYLB_SLOT_RESULT_H
#define SAVORYLB_SLOT_RESULT_H

namespace savorylb {

/// How a granted request ended, as reported by the VM that forwarded it.
enum class SlotResult {
  Done,
  Failed,
  Shed,
  TimedOut,
  /// Not sent, or its end says nothing about the target.
  Unused,
  /// Timed out, and the target may still run it.
  TimedOutBusy,
  /// Abandoned for another reason, and the target may still run it.
  AbandonedBusy,
};

} // namespace savorylb

#endif // SAVORYLB_SLOT_RESULT_H
