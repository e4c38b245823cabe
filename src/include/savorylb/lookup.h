#ifndef SAVORYLB_LOOKUP_H
#define SAVORYLB_LOOKUP_H

#include "savorylb/block_table.h"
#include "savorylb/config.h"
#include "savorylb/lookup_answer.h"
#include "savorylb/lookup_query.h"
#include "savorylb/lookup_vm.h"
#include "savorylb/vm_view.h"

#include <vector>

namespace savorylb {

/// Maximum number of VMs in one answer.
constexpr std::size_t MaxLookupVms = 4;

/// Ranks the VMs for a caller.
/// \param vms all known VMs, including this one.
/// \returns at least two VMs if two are known.
LookupAnswer lookUp(const Config &config, const BlockTable &blocks,
                    const std::vector<VmView> &vms, const LookupQuery &query,
                    MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LOOKUP_H
