#ifndef SAVORYLB_ONCE_LEDGER_H
#define SAVORYLB_ONCE_LEDGER_H

#include "savorylb/begin_result.h"
#include "savorylb/ids.h"
#include "savorylb/once_entry.h"
#include "savorylb/once_home.h"
#include "savorylb/once_partition.h"
#include "savorylb/once_state.h"
#include "savorylb/once_verdict.h"
#include "savorylb/stored_answer.h"
#include "savorylb/units.h"
#include "savorylb/zone_document.h"

#include <string>
#include <vector>

namespace savorylb {

/// Bodies above this size are not kept for repeats.
constexpr std::size_t MaxStoredBody = std::size_t{64} * 1024;

/// Registers a request, or tells what became of its earlier attempt.
///
/// On Go the caller must replicate the new entry before it lets the request
/// run, and call cancelOnce() when that fails.
/// \param partition the partition; the caller checked ownership and lease.
/// \param identity the request's identity.
/// \param digest digest of the request.
/// \param team the team whose key came with it.
/// \param deadline the request's deadline.
/// \param now the current time.
/// \param revision current revision of the owner map; an identity cannot have
/// been made under a higher one.
/// \returns the verdict.
BeginResult beginOnce(OncePartition &partition, const RequestId &identity,
                      const std::string &digest, const TeamId &team,
                      MonoTime deadline, MonoTime now,
                      std::int64_t revision = 0);

/// Removes an entry whose request certainly did not run.
/// \returns false when the entry is gone or has another number.
bool cancelOnce(OncePartition &partition, const RequestId &identity,
                std::uint64_t number);

/// Records the outcome; Done and Unknown are final.
/// \returns false when the entry is gone, has another number or is final.
bool finishOnce(OncePartition &partition, const RequestId &identity,
                std::uint64_t number, OnceState state, StoredAnswer answer);

/// Turns overdue entries into Unknown and drops those past their retention.
/// \returns how many became Unknown.
int expireOnce(OncePartition &partition, Duration retention, MonoTime now);

/// Stores a replicated or transferred entry; a final state never goes back.
void mergeOnce(OncePartition &partition, OnceEntry entry);

/// Makes a replica into the home partition after a takeover.
/// \param partition the replica.
/// \param complete whether the replica is known to hold every entry and the
/// zone document does not have the partition as quarantined; the replica itself
/// does not know of an earlier quarantine.
/// \param retention how long entries live.
/// \param now the current time.
void promoteReplica(OncePartition &partition, bool complete, Duration retention,
                    MonoTime now);

/// \param identity an identity such as `tema-a@57:permit-1`.
/// \returns the revision that its prefix names, 0 without one.
std::int64_t identityRevision(const RequestId &identity);

/// \param identity the request's identity, with or without a zone prefix.
/// \param zones all configured zones.
/// \param homeZones zones of the team's first region, for identities without
/// a prefix.
/// \returns the home zone and partition; the same on every VM.
OnceHome homeOf(const RequestId &identity, const std::vector<ZoneId> &zones,
                const std::vector<ZoneId> &homeZones);

} // namespace savorylb

#endif // SAVORYLB_ONCE_LEDGER_H
