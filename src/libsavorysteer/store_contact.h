#ifndef SAVORYLB_STORE_CONTACT_H
#define SAVORYLB_STORE_CONTACT_H

#include "savorylb/units.h"

#include <optional>

namespace savorylb {

/// A longer silence of the store is an outage. The lease is renewed every 0.8
/// s, and a busy VM is some hundred milliseconds late.
constexpr Duration MinOutage = Millis(1500);

/// The store's answers to this VM, over all of its connections.
struct StoreContact {
  /// When the store last executed a call of this VM.
  MonoTime ServedAt{};
  /// When the store executed the first call after its last outage; unset
  /// without an outage.
  std::optional<MonoTime> BackAt;
};

/// How a call to the store failed.
enum class CallFailure {
  /// The connection of a watch that the store let wait was closed.
  WatchCut,
  /// The response was too large to be read.
  ResponseTooLarge,
  /// The call was refused or got no response.
  NotServed,
};

/// Records that the store executed a call.
void recordServed(StoreContact &contact, MonoTime now);

/// Tells until when the store was away, if a call failed. A call that waits
/// for long fails long after the outage that broke it: other calls show when
/// that outage ended.
/// \param sentAt when the call was sent.
/// \param now when it failed.
/// \returns nothing if the failure shows no outage: the store responded, or it
///          cut a waiting watch while it serves other calls.
std::optional<MonoTime> awayUntil(const StoreContact &contact,
                                  CallFailure failure, MonoTime sentAt,
                                  MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_STORE_CONTACT_H
