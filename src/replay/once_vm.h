#ifndef SAVORYLB_REPLAY_ONCE_VM_H
#define SAVORYLB_REPLAY_ONCE_VM_H

#include "savorylb/once_ledger.h"

#include <map>

namespace savorylb::replay {

/// The ledger partitions on one VM.
struct OnceVm {
  std::map<int, OncePartition> OwnPartitions;
  /// Replicas by the VM that owns the partitions, and entries received for a
  /// handoff by the VM that sent them.
  std::map<VmId, std::map<int, OncePartition>> Replicas;
  std::map<VmId, std::map<int, OncePartition>> Incoming;
  /// Incarnations whose ledgers are completely replicated here.
  std::map<VmId, Incarnation> CompleteReplicas;
  /// The VM that holds a complete replica of OwnPartitions, and the VM about to
  /// be named successor, which receives one.
  std::pair<VmId, Incarnation> SyncedWith;
  std::pair<VmId, Incarnation> SyncingWith;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ONCE_VM_H
