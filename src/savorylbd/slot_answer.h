#ifndef SAVORYLB_SAVORYLBD_SLOT_ANSWER_H
#define SAVORYLB_SAVORYLBD_SLOT_ANSWER_H

#include "savorylb/slot_grant.h"
#include "savorylb/units.h"

#include <optional>
#include <string>

namespace savorylb {

/// An owner's answer to a SlotQuery: a grant, or the reason why there is none.
struct SlotAnswer {
  std::optional<SlotGrant> Grant;
  std::string Reason;
  Duration RetryAfter{};
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SLOT_ANSWER_H
