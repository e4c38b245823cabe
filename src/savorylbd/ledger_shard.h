#ifndef SAVORYLB_SAVORYLBD_LEDGER_SHARD_H
#define SAVORYLB_SAVORYLBD_LEDGER_SHARD_H

#include "savorylb/ids.h"
#include "savorylb/once_partition.h"

#include <map>
#include <mutex>

namespace savorylb {

/// One ledger partition of the own zone.
struct LedgerShard {
  std::mutex Lock;
  OncePartition Own;
  /// Copies for the VMs that name this one as their successor.
  std::map<VmId, OncePartition> Replicas;
  /// Entries sent ahead by a VM that hands this partition off.
  std::map<VmId, OncePartition> Incoming;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_LEDGER_SHARD_H
