#ifndef SAVORYLB_MIRROR_FRESHNESS_H
#define SAVORYLB_MIRROR_FRESHNESS_H

#include "savorylb/units.h"

#include <optional>

namespace savorylb {

/// Until when a mirror of the store is known to be complete.
struct MirrorFreshness {
  /// The mirror held all changes of the store at this time.
  MonoTime CompleteAt{};
  /// When the watch in progress was sent; unset without one.
  std::optional<MonoTime> WatchSentAt;
};

/// Returns the latest time at which the mirror is known to have been complete.
/// The store sends changes to a waiting watch at once, so while a watch waits,
/// any other answer of the store shows that there were none.
/// \param storeServedAt when the store last served this VM, on any connection.
MonoTime completeAt(const MirrorFreshness &freshness, MonoTime storeServedAt);

/// Records that a watch of the store was sent.
void recordWatchStart(MirrorFreshness &freshness, MonoTime now);

/// Records that the watch in progress has ended, with or without an answer.
/// \param storeServedAt as in completeAt().
void recordWatchEnd(MirrorFreshness &freshness, MonoTime storeServedAt);

/// Records that the mirror was complete at a time.
void recordComplete(MirrorFreshness &freshness, MonoTime at);

} // namespace savorylb

#endif // SAVORYLB_MIRROR_FRESHNESS_H
