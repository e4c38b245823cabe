#ifndef SAVORYLB_INDEXED_VM_H
#define SAVORYLB_INDEXED_VM_H

#include "savorylb/lookup_vm.h"
#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// What lookups need of one VM.
struct IndexedVm {
  LookupVm Answer;
  std::uint64_t NameHash = 0;
  bool Departing = false;
  MonoTime AsOf{};
};

} // namespace savorylb

#endif // SAVORYLB_INDEXED_VM_H
