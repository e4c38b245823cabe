#ifndef SAVORYLB_WATCHER_SELECTION_H
#define SAVORYLB_WATCHER_SELECTION_H

#include "savorylb/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// How long a watcher holds a request of a follower until there are changes.
constexpr Duration FollowerWait = Millis(600);
/// Limit for the response after that.
constexpr Duration FollowerTimeout = Millis(400);
/// How long a follower tries watchers before it asks the store.
constexpr Duration MaxSearch = Millis(1100);

/// Longest time between two answers of the store to a VM that it serves: the
/// lease is renewed every 0.8 s.
constexpr Duration MaxStoreSilence = Millis(1000);

/// State for choosing the VM that this VM follows instead of watching the store
/// itself. A watcher is a VM that watches the store and forwards the changes.
struct WatcherSelection {
  /// Addresses of watchers that did not answer or do not reach the store, and
  /// the time until which they are not followed.
  std::map<std::string, MonoTime> AvoidedUntil;
  /// Watcher failures since the last answer.
  int ConsecutiveFailures = 0;
  /// When this VM first asked a watcher or the store since the last answer.
  std::optional<MonoTime> SearchStart;
  /// This VM watches the store itself until this time.
  MonoTime DirectWatchUntil{};
};

/// Records that a followed watcher did not answer or does not reach the store.
void recordWatcherFailure(WatcherSelection &selection,
                          const std::string &address, MonoTime now);

/// Records that a followed watcher answered.
void recordWatcherSuccess(WatcherSelection &selection);

/// Records that the store answered a list or a watch.
void recordStoreSuccess(WatcherSelection &selection);

/// Chooses the watcher to follow. This VM watches the store itself if a request
/// to the watcher could take longer than what is left of MaxSearch. After two
/// consecutive failures it watches the store for some time, because the next
/// watchers may be on the other side of the same network partition. A VM that
/// does not reach the store either tries the next watcher immediately.
/// \param selection records the start of a search.
/// \param watchers addresses in order of precedence.
/// \param storeFails whether the store failed to serve this VM's last call.
/// \returns the watcher's address, or empty to watch the store directly.
std::string selectWatcher(WatcherSelection &selection,
                          const std::vector<std::string> &watchers,
                          bool storeFails, MonoTime now);

/// \param storeFails as in selectWatcher().
/// \returns the limit for the response of the watcher that was chosen now.
Duration followTimeout(const WatcherSelection &selection, bool storeFails,
                       MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_WATCHER_SELECTION_H
