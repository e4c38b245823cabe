#include "mirror_freshness.h"

#include <algorithm>

namespace savorylb {

MonoTime completeAt(const MirrorFreshness &freshness, MonoTime storeServedAt) {
  if (!freshness.WatchSentAt || storeServedAt <= *freshness.WatchSentAt)
    return freshness.CompleteAt;
  return std::max(freshness.CompleteAt, storeServedAt);
}

void recordWatchStart(MirrorFreshness &freshness, MonoTime now) {
  freshness.WatchSentAt = now;
}

void recordWatchEnd(MirrorFreshness &freshness, MonoTime storeServedAt) {
  freshness.CompleteAt = completeAt(freshness, storeServedAt);
  freshness.WatchSentAt.reset();
}

void recordComplete(MirrorFreshness &freshness, MonoTime at) {
  freshness.CompleteAt = std::max(freshness.CompleteAt, at);
}

} // namespace savorylb
