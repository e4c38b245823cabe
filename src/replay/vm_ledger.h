#ifndef SAVORYLB_REPLAY_VM_LEDGER_H
#define SAVORYLB_REPLAY_VM_LEDGER_H

#include "savorylb/once_ledger.h"

#include <map>

namespace savorylb::replay {

/// The ledger partitions on one VM.
struct VmLedger {
  std::map<int, OncePartition> OwnPartitions;
  /// Replicas, by the VM that owns the partitions.
  std::map<VmId, std::map<int, OncePartition>> Replicas;
  /// Entries received for a handoff, by the VM that sent them.
  std::map<VmId, std::map<int, OncePartition>> Incoming;
  /// Incarnations whose ledgers are completely replicated here.
  std::map<VmId, Incarnation> CompleteReplicas;
  /// The last VM that received a complete replica of OwnPartitions.
  std::pair<VmId, Incarnation> SyncedWith;
  /// The VM about to be named successor, which receives a replica.
  std::pair<VmId, Incarnation> SyncingWith;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_VM_LEDGER_H
