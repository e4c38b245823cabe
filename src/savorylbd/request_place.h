#ifndef SAVORYLB_SAVORYLBD_REQUEST_PLACE_H
#define SAVORYLB_SAVORYLBD_REQUEST_PLACE_H

#include "peer_calls.h"
#include "placed_slot.h"
#include "placement.h"
#include "request_context.h"

namespace savorylb {

/// Whether a request may wait in the queue of an owner.
enum class SlotWait { None, InQueue };

/// Finds a slot: one that is free now, else one from the queue of an owner.
/// \param context the request.
/// \param version wanted version, empty for any.
/// \param avoid target of the previous attempt, empty if there was none.
/// \param wait whether to wait when no slot is free.
Placement placeAttempt(RequestContext &context, const VersionId &version,
                       const TargetId &avoid,
                       SlotWait wait = SlotWait::InQueue);

/// Releases a slot and settles the link budget.
/// \param bytes the bytes of request and response that were transferred.
void releasePlacedSlot(RequestContext &context, const PlacedSlot &slot,
                       SlotResult result, Duration took, std::int64_t bytes);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_PLACE_H
