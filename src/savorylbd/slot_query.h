#ifndef SAVORYLB_SAVORYLBD_SLOT_QUERY_H
#define SAVORYLB_SAVORYLBD_SLOT_QUERY_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// What a forwarding VM asks an owner for.
struct SlotQuery {
  ServiceId Service;
  VersionId Version;
  TeamId Team;
  int Weight = 1;
  Duration Remaining{};
  Duration MaxWait{};
  TargetId Avoid;
  VmId Forwarder;
  /// Follows one request through the logs of all daemons.
  std::string Trace;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SLOT_QUERY_H
