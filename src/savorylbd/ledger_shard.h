#ifndef SAVORYLB_SAVORYLBD_LEDGER_SHARD_H
#define SAVORYLB_SAVORYLBD_LEDGER_SHARD_H

#include "savorylb/ids.h"
#include "savorylb/once_partition.h"

#include <map>
#include <mutex>

namespace savorylb {

/// One ledger partition of this zone.
struct LedgerShard {
  std::mutex Lock;
  /// Entries of this VM, valid while it is the home of the partition.
  OncePartition Own;
  /// Replicas by the VM whose successor this VM is.
  std::map<VmId, OncePartition> Replicas;
  /// Entries by the VM that hands this partition off, received before the owner
  /// map changes.
  std::map<VmId, OncePartition> Incoming;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_LEDGER_SHARD_H
