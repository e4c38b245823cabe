#ifndef SAVORYLB_LISTED_VM_H
#define SAVORYLB_LISTED_VM_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// One entry of the platform's VM list.
struct ListedVm {
  VmId Name;
  ZoneId Zone;
  RegionId Region;
  /// Peer endpoint `host:port`.
  std::string Address;
  bool Departing = false;
};

} // namespace savorylb

#endif // SAVORYLB_LISTED_VM_H
