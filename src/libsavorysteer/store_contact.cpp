#include "store_contact.h"

namespace savorylb {

void recordServed(StoreContact &contact, MonoTime now) {
  if (contact.ServedAt != MonoTime() && now - contact.ServedAt > MinOutage)
    contact.BackAt = now;
  contact.ServedAt = now;
}

std::optional<MonoTime> awayUntil(const StoreContact &contact,
                                  CallFailure failure, MonoTime sentAt,
                                  MonoTime now) {
  if (failure == CallFailure::ResponseTooLarge)
    return std::nullopt;
  bool serves = now - contact.ServedAt <= MinOutage;
  if (serves && contact.BackAt && *contact.BackAt > sentAt)
    return contact.BackAt;
  // If an outage has just begun, the next calls fail.
  if (serves && failure == CallFailure::WatchCut && contact.ServedAt > sentAt)
    return std::nullopt;
  return now;
}

} // namespace savorylb
