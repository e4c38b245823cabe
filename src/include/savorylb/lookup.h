#ifndef SAVORYLB_LOOKUP_H
#define SAVORYLB_LOOKUP_H

#include "savorylb/block_table.h"
#include "savorylb/config.h"
#include "savorylb/vm_view.h"

#include <string>
#include <vector>

namespace savorylb {

/// Largest number of VMs in one answer.
constexpr std::size_t MaxLookupVms = 4;

/// One VM of an answer.
struct LookupVm {
  VmId Name;
  std::string CallerEndpoint;
  ZoneId Zone;
  RegionId Region;
  Duration Distance{};
};

/// Which VMs a caller should use, best first.
struct LookupAnswer {
  std::vector<LookupVm> Vms;
  Duration TimeToLive = Seconds(5);
  /// Prefix for request identities, so that their home is near the caller.
  std::string IdentityPrefix;
  /// Why the first VM was chosen, for the event log.
  std::string Reason;
};

/// What a lookup asks for.
struct LookupQuery {
  ServiceId Service;
  std::uint32_t ClientAddress = 0;
};

/// Ranks the VMs for a caller.
/// \param config the configuration in force.
/// \param blocks client blocks.
/// \param vms all known VMs, this one included.
/// \param query the lookup.
/// \param now the current time.
/// \returns at least two VMs where there are two.
LookupAnswer lookUp(const Config &config, const BlockTable &blocks,
                    const std::vector<VmView> &vms, const LookupQuery &query,
                    MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_H
