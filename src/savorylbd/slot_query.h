#ifndef SAVORYLB_SAVORYLBD_SLOT_QUERY_H
#define SAVORYLB_SAVORYLBD_SLOT_QUERY_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Request of a forwarding VM for a slot.
struct SlotQuery {
  ServiceId Service;
  /// Wanted version, empty for any.
  VersionId Version;
  TeamId Team;
  int Weight = 1;
  /// Time left until the request's deadline.
  Duration Remaining{};
  /// How long the request may wait in the owner's queue; 0 for a slot that is
  /// free now.
  Duration MaxWait{};
  /// Target to avoid when another one is free; may be empty.
  TargetId Avoid;
  VmId Forwarder;
  /// Identifies the request in the event logs of all daemons.
  std::string Trace;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SLOT_QUERY_H
