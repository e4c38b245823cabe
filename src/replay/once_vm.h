#ifndef SAVORYLB_REPLAY_ONCE_VM_H
#define SAVORYLB_REPLAY_ONCE_VM_H

#include "savorylb/once_ledger.h"

#include <map>

namespace savorylb::replay {

/// One VM's part of the ledger.
struct OnceVm {
  std::map<int, OncePartition> Own;
  /// Copies for other holders, and entries sent ahead of a handoff.
  std::map<VmId, std::map<int, OncePartition>> Replicas;
  std::map<VmId, std::map<int, OncePartition>> Incoming;
  std::map<VmId, Incarnation> CompleteReplicas;
  /// The VM that holds a complete copy, and the one that is about to.
  std::pair<VmId, Incarnation> SyncedWith;
  std::pair<VmId, Incarnation> SyncingWith;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ONCE_VM_H
