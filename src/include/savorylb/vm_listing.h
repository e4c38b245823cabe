#ifndef SAVORYLB_VM_LISTING_H
#define SAVORYLB_VM_LISTING_H

#include "savorylb/listed_vm.h"
#include "savorylb/units.h"

#include <cstdint>
#include <vector>

namespace savorylb {

/// The platform's list of VMs, which may be out of date by Age.
struct VmListing {
  std::uint64_t Version = 0;
  Duration Age{};
  std::vector<ListedVm> Vms;
};

} // namespace savorylb

#endif // SAVORYLB_VM_LISTING_H
