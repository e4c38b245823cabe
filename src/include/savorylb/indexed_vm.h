#ifndef SAVORYLB_INDEXED_VM_H
#define SAVORYLB_INDEXED_VM_H

#include "savorylb/lookup_vm.h"
#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// The data of one VM that lookups need.
struct IndexedVm {
  /// The VM's entry in lookup answers, without the distance.
  LookupVm Answer;
  std::uint64_t NameHash = 0;
  bool Departing = false;
  /// When the VM's published state was true, on this daemon's clock.
  MonoTime AsOf{};
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_VM_H
