#include "watcher_selection.h"

#include <algorithm>

namespace savorylb {
namespace {

/// How long a failed watcher is avoided. A network partition lasts some
/// seconds, and each request to an unreachable VM delays changes by more than a
/// second.
constexpr Duration AvoidanceTime = Seconds(10);
/// A single failed watcher may have stopped; two consecutive failures suggest a
/// network partition.
constexpr int MaxConsecutiveFailures = 2;
/// How long the store is then watched directly. Longer than one watch and the
/// pause after it, so that at least one answer arrives before the next watcher
/// is tried.
constexpr Duration DirectWatchTime = Seconds(2);
/// Shortest time in which a watcher without changes can respond.
constexpr Duration MinFollowTimeout = FollowerWait + Millis(100);

} // namespace

void recordWatcherFailure(WatcherSelection &selection,
                          const std::string &address, MonoTime now) {
  selection.AvoidedUntil[address] = now + AvoidanceTime;
  if (++selection.ConsecutiveFailures >= MaxConsecutiveFailures)
    selection.DirectWatchUntil = now + DirectWatchTime;
}

void recordWatcherSuccess(WatcherSelection &selection) {
  selection.ConsecutiveFailures = 0;
  selection.SearchStart.reset();
}

void recordStoreSuccess(WatcherSelection &selection) {
  selection.SearchStart.reset();
}

std::string selectWatcher(WatcherSelection &selection,
                          const std::vector<std::string> &watchers,
                          bool storeFails, MonoTime now) {
  if (!selection.SearchStart)
    selection.SearchStart = now;
  bool timeLeft = followTimeout(selection, false, now) >= MinFollowTimeout;
  if ((now < selection.DirectWatchUntil || !timeLeft) && !storeFails)
    return "";
  for (const std::string &it : watchers) {
    auto avoided = selection.AvoidedUntil.find(it);
    if (avoided == selection.AvoidedUntil.end() || now >= avoided->second)
      return it;
  }
  return "";
}

Duration followTimeout(const WatcherSelection &selection, bool storeFails,
                       MonoTime now) {
  Duration longest = FollowerWait + FollowerTimeout;
  if (storeFails || !selection.SearchStart)
    return longest;
  return std::min(longest, *selection.SearchStart + MaxSearch - now);
}

} // namespace savorylb
