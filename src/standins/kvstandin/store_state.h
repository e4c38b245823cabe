#ifndef SAVORYLB_STANDINS_STORE_STATE_H
#define SAVORYLB_STANDINS_STORE_STATE_H

#include "call_counter.h"
#include "kv_store.h"
#include "store_faults.h"
#include "vm_list.h"

namespace savorylb::standin {

/// State shared by the data port and the control port.
struct StoreState {
  KvStore Store;
  VmList Vms;
  StoreFaults Faults;
  CallCounter Calls;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STORE_STATE_H
