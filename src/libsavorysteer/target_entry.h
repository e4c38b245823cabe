#ifndef SAVORYLB_TARGET_ENTRY_H
#define SAVORYLB_TARGET_ENTRY_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

namespace savorylb {

/// What a target says of itself in the store.
struct TargetEntry {
  TargetId Id;
  /// `ip:port`.
  std::string Address;
  ZoneId Zone;
  ServiceId Service;
  VersionId Version;
  /// Requests that it processes at the same time.
  int Slots = 1;
  bool Draining = false;
  /// How much longer it is cold.
  Millis WarmupLeft{0};
  /// Rises with each report of one start.
  std::int64_t Sequence = 0;
  /// Tells the starts of one id apart; not a time to compute with.
  std::int64_t Birth = 0;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_ENTRY_H
