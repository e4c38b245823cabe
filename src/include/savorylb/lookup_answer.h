#ifndef SAVORYLB_LOOKUP_ANSWER_H
#define SAVORYLB_LOOKUP_ANSWER_H

#include "savorylb/lookup_vm.h"
#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// The VMs that a caller should use, best first.
struct LookupAnswer {
  std::vector<LookupVm> Vms;
  /// How long the caller may cache the answer.
  Duration TimeToLive = Seconds(5);
  /// Prefix for the caller's request identities; it places their home in the
  /// zone of the first VM.
  std::string IdentityPrefix;
  /// Why the first VM was chosen, for the event log.
  std::string Reason;
};

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_ANSWER_H
