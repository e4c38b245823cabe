#ifndef SAVORYLB_SAVORYLBD_REQUEST_PLACE_H
#define SAVORYLB_SAVORYLBD_REQUEST_PLACE_H

#include "peer_calls.h"
#include "placed_slot.h"
#include "placement.h"
#include "request_context.h"

namespace savorylb {

/// Whether a request may wait in the queue of an owner.
enum class SlotPatience { FreeNow, Queue };

/// Looks for a slot: at once where one is free, else in the queue of an owner.
/// \param context the request.
/// \param version wanted version, empty for any.
/// \param avoid target of the attempt before.
/// \param patience whether to wait when no slot is free.
Placement placeAttempt(RequestContext &context, const VersionId &version,
                       const TargetId &avoid,
                       SlotPatience patience = SlotPatience::Queue);

/// Returns the slot and settles the link budget.
void releasePlaced(RequestContext &context, const PlacedSlot &slot,
                   SlotResult result, Duration took, std::int64_t bytes);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_PLACE_H
