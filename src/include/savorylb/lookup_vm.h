#ifndef SAVORYLB_LOOKUP_VM_H
#define SAVORYLB_LOOKUP_VM_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// One VM in a lookup answer.
struct LookupVm {
  VmId Name;
  std::string CallerEndpoint;
  ZoneId Zone;
  RegionId Region;
  /// Distance between the caller's site and the VM's region.
  Duration Distance{};
};

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_VM_H
