#ifndef SAVORYLB_VM_LIST_CLIENT_H
#define SAVORYLB_VM_LIST_CLIENT_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/listed_vm.h"
#include "savorylb/units.h"
#include "savorylb/vm_listing.h"

#include <functional>

namespace savorylb {

/// Interface to the platform's VM list.
struct VmListClient {
  std::function<Result<VmListing>()> Read;
};

} // namespace savorylb

#endif // SAVORYLB_VM_LIST_CLIENT_H
