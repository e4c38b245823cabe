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

/// The ledger of the own zone.
struct LedgerShards {
  std::array<LedgerShard, PartitionCount> Partitions;
  std::mutex Lock;
  /// Successor that holds a complete copy of this VM's entries.
  VmId SyncedWith;
  Incarnation SyncedLife;
  /// Successor that is being brought up to date.
  VmId SyncingWith;
  std::string SyncingEndpoint;
  /// VMs whose complete copy is held here, with their incarnation.
  std::map<VmId, Incarnation> CompleteReplicas;
  /// Own partitions whose quarantine has lasted the retention time.
  std::set<int> QuarantineOver;
};

/// Registers a request at this VM when it is the home.
BeginResult beginAtHome(Daemon &daemon, const OnceQuery &query);

/// Records an outcome at this VM when it is the home.
bool finishAtHome(Daemon &daemon, const RequestId &identity, int partition,
                  std::uint64_t number, const std::string &outcome,
                  StoredAnswer answer);

/// Stores an entry of a VM that names this one as successor.
void storeReplica(Daemon &daemon, const VmId &holder, int partition,
                  const OnceEntry &entry, bool removed);

/// Copies all own entries to a VM before it is named successor.
/// \returns false when the copy is not complete.
bool syncReplica(Daemon &daemon, const VmId &successor, const Incarnation &life,
                 const std::string &endpoint);

/// Brings the named successor up to date when it has no complete copy.
void ensureReplica(Daemon &daemon);

/// Sends a partition's entries to the VM it is handed to.
bool sendPartition(Daemon &daemon, int partition, const std::string &endpoint);

/// Takes the entries and quarantines of the partitions that a newer owner map
/// gives to this VM. Comes before the map is in force: a home that answered
/// without them could let an identity run again.
/// \param daemon the daemon.
/// \param doc the newer owner map.
/// \param previous the owner map in force, to find whose replica to use.
void adoptPartitions(Daemon &daemon, const ZoneDocument &doc,
                     const ZoneDocument &previous);

/// Brings the ledger in line with an owner map that is in force now.
/// \param daemon the daemon.
/// \param before partitions owned before.
/// \param doc the owner map.
void applyPartitions(Daemon &daemon, const std::set<int> &before,
                     const ZoneDocument &doc);

/// Expires overdue entries.
void tickLedger(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_LEDGER_SHARDS_H
