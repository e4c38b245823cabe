#ifndef SAVORYLB_VM_LIST_CLIENT_H
#define SAVORYLB_VM_LIST_CLIENT_H

#include "savorylb/error.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <functional>
#include <string>
#include <vector>

namespace savorylb {

/// One VM as the platform lists it.
struct ListedVm {
  VmId Name;
  ZoneId Zone;
  RegionId Region;
  /// Peer endpoint `host:port`.
  std::string Address;
  bool Departing = false;
};

/// The platform's list, which lags behind the truth.
struct VmListing {
  std::uint64_t Version = 0;
  Duration Age{};
  std::vector<ListedVm> Vms;
};

/// The edge to the platform's VM list.
struct VmListClient {
  std::function<Result<VmListing>()> Read;
};

} // namespace savorylb

#endif // SAVORYLB_VM_LIST_CLIENT_H
