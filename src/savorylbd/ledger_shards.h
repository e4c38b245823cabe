#ifndef SAVORYLB_SAVORYLBD_LEDGER_SHARDS_H
#define SAVORYLB_SAVORYLBD_LEDGER_SHARDS_H

#include "ledger_shard.h"
#include "once_query.h"
#include "savorylb/once_ledger.h"
#include "savorylb/zone_document.h"

#include <array>
#include <map>
#include <mutex>
#include <set>

namespace savorylb {

struct Daemon;

/// The ledger partitions of this zone, and the progress of their replication.
struct LedgerShards {
  std::array<LedgerShard, PartitionCount> Partitions;
  std::mutex Lock;
  /// Successor that holds a complete replica of the own entries.
  VmId SyncedWith;
  Incarnation SyncedIncarnation;
  /// VM that is receiving all own entries to become or stay the successor; new
  /// entries are replicated to it too.
  VmId SyncingWith;
  std::string SyncingEndpoint;
  /// VMs of which this VM holds a complete replica, with their incarnation.
  std::map<VmId, Incarnation> CompleteReplicas;
  /// Partitions of this VM that have been quarantined for the retention time.
  std::set<int> QuarantineEnded;
};

/// Registers a request and replicates its entry if this VM is the home.
BeginResult beginAtHome(Daemon &daemon, const OnceQuery &query);

/// Records the outcome of a request that was registered at this VM.
/// \param number the number of the ledger entry.
/// \param outcome `done`, `not_run` or `unknown`.
/// \returns false when the entry does not exist, has another number or is
/// final.
bool finishAtHome(Daemon &daemon, const RequestId &identity, int partition,
                  std::uint64_t number, const std::string &outcome,
                  StoredAnswer answer);

/// Applies a change of an entry to the replica held for another VM.
/// \param owner the VM that names this one as its successor.
/// \param removed whether the entry is removed because its request did not run.
void storeReplica(Daemon &daemon, const VmId &owner, int partition,
                  const OnceEntry &entry, bool removed);

/// Sends all own entries to a VM that is the successor or is about to be named
/// so. New entries are replicated to it too in the meantime.
/// \returns false when the replica is not complete.
bool syncReplica(Daemon &daemon, const VmId &successor,
                 const Incarnation &incarnation, const std::string &endpoint);

/// Sends all own entries to the named successor if it holds no complete
/// replica.
void ensureReplica(Daemon &daemon);

/// Sends a partition's entries to the VM that it is handed off to.
/// \returns false when a message was not acknowledged.
bool sendPartition(Daemon &daemon, int partition, const std::string &endpoint);

/// Merges the entries and sets the quarantines of the partitions that a newer
/// owner map newly assigns to this VM. Must be called before the map takes
/// effect: a home that answered without them could let an identity run twice.
/// \param doc the newer owner map.
/// \param previous the owner map in effect, which names the VM whose replica to
/// use.
void adoptPartitions(Daemon &daemon, const ZoneDocument &doc,
                     const ZoneDocument &previous);

/// Updates the ledger after an owner map took effect: clears ended quarantines,
/// drops the entries of lost partitions, and ends the extra replication to a VM
/// that the map names successor.
/// \param before the partitions owned before.
/// \param doc the owner map.
void applyPartitions(Daemon &daemon, const std::set<int> &before,
                     const ZoneDocument &doc);

/// Expires entries, and finds the partitions whose quarantine has ended.
void tickLedger(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_LEDGER_SHARDS_H
