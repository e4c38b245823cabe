#ifndef SAVORYLB_LOOKUP_ANSWER_H
#define SAVORYLB_LOOKUP_ANSWER_H

#include "savorylb/lookup_vm.h"
#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// Which VMs a caller should use, best first.
struct LookupAnswer {
  std::vector<LookupVm> Vms;
  Duration TimeToLive = Seconds(5);
  /// Prefix for request identities, so that their home is near the caller.
  std::string IdentityPrefix;
  /// Why the first VM was chosen, for the event log.
  std::string Reason;
};

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_ANSWER_H
