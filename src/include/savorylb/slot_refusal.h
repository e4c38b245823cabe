#ifndef SAVORYLB_SLOT_REFUSAL_H
#define SAVORYLB_SLOT_REFUSAL_H

namespace savorylb {

/// Why no slot was granted.
enum class SlotRefusal { NoTarget, Busy };

} // namespace savorylb

#endif // SAVORYLB_SLOT_REFUSAL_H
