#ifndef SAVORYLB_SAVORYLBD_SLOT_WAITER_H
#define SAVORYLB_SAVORYLBD_SLOT_WAITER_H

#include "savorylb/slot_grant.h"
#include "savorylb/units.h"

#include <condition_variable>
#include <optional>

namespace savorylb {

/// A request that waits for a slot; owned by the thread that waits.
struct SlotWaiter {
  /// The request's deadline.
  MonoTime ExpiresAt{};
  /// The wait has ended, with a grant or without one.
  bool Done = false;
  std::optional<SlotGrant> Grant;
  std::condition_variable Ready;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SLOT_WAITER_H
