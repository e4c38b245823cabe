#ifndef SAVORYLB_WATCHER_SELECTION_H
#define SAVORYLB_WATCHER_SELECTION_H

#include "savorylb/units.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb {

/// State for choosing the VM that this VM follows instead of watching the store
/// itself. A watcher is a VM that watches the store and forwards the changes.
struct WatcherSelection {
  /// Addresses of watchers that did not answer or do not reach the store, and
  /// the time until which they are not followed.
  std::map<std::string, MonoTime> AvoidedUntil;
  /// Watcher failures since the last answer.
  int ConsecutiveFailures = 0;
  /// This VM watches the store itself until this time.
  MonoTime DirectWatchUntil{};
};

/// Records that a followed watcher did not answer or does not reach the store.
void recordWatcherFailure(WatcherSelection &selection,
                          const std::string &address, MonoTime now);

/// Records that a followed watcher answered.
void recordWatcherSuccess(WatcherSelection &selection);

/// Chooses the watcher to follow. After two consecutive failures this VM
/// watches the store itself for some time, because the next watchers may be on
/// the other side of the same network partition. A VM that does not reach the
/// store either tries the next watcher immediately.
/// \param watchers addresses in order of precedence.
/// \param storeFails whether this VM's last watch of the store failed.
/// \returns the watcher's address, or empty to watch the store directly.
std::string selectWatcher(const WatcherSelection &selection,
                          const std::vector<std::string> &watchers,
                          bool storeFails, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_WATCHER_SELECTION_H
