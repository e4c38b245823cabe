#ifndef SAVORYLB_TARGET_ENTRY_H
#define SAVORYLB_TARGET_ENTRY_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

namespace savorylb {

/// The entry that a target writes about itself in the store.
struct TargetEntry {
  TargetId Id;
  /// `ip:port`.
  std::string Address;
  ZoneId Zone;
  ServiceId Service;
  VersionId Version;
  /// Number of requests that the target processes concurrently.
  int Slots = 1;
  bool Draining = false;
  /// Remaining time of the warm-up.
  Millis WarmupLeft{0};
  /// Increases with each report of one process start. The store's revision
  /// orders entries, except those that the store shows after it came back from
  /// an older copy; see isOutdated().
  std::int64_t Sequence = 0;
  /// Distinguishes the process starts under one id; not to be used as a time.
  std::int64_t StartId = 0;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_ENTRY_H
