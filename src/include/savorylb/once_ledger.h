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

/// Maximum size of a response body that is stored to answer repeats.
constexpr std::size_t MaxStoredBody = std::size_t{64} * 1024;

/// Registers a request, or returns the outcome of its earlier attempt.
///
/// If the verdict is Go, the caller must replicate the new entry before it runs
/// the request, and call cancelOnce() when the replication fails.
/// \param partition the partition, whose ownership and lease the caller has
/// checked.
/// \param digest digest of the request; see OnceEntry::Digest.
/// \param team the team whose key authenticated the request.
/// \param revision current revision of the owner map. An identity whose prefix
/// names a higher one is not trusted to be new.
BeginResult beginOnce(OncePartition &partition, const RequestId &identity,
                      const std::string &digest, const TeamId &team,
                      MonoTime deadline, MonoTime now,
                      std::int64_t revision = 0);

/// Removes an entry whose request certainly did not run.
/// \returns false when the entry does not exist, has another number or is
/// final.
bool cancelOnce(OncePartition &partition, const RequestId &identity,
                std::uint64_t number);

/// Records the outcome of a request. Done and Unknown are final.
/// \returns false when the entry does not exist, has another number or is
/// already final, or when the new state is not final.
bool finishOnce(OncePartition &partition, const RequestId &identity,
                std::uint64_t number, OnceState state, StoredAnswer answer);

/// Marks entries past their deadline as Unknown and deletes final entries older
/// than the retention time.
/// \returns the number of entries marked as Unknown.
int expireOnce(OncePartition &partition, Duration retention, MonoTime now);

/// Stores a replicated or transferred entry. A final state is never
/// overwritten, and an entry with a lower number than the stored one is
/// ignored.
void mergeOnce(OncePartition &partition, OnceEntry entry);

/// Turns a replica into the home partition after a takeover.
///
/// Quarantines the partition for the retention time if the replica is not
/// complete, and skips the entry numbers that the former home VM may have used.
/// \param complete whether the replica is known to hold every entry and the
/// zone document does not list the partition as quarantined; a replica does not
/// record an earlier quarantine.
/// \param retention how long entries are kept.
void promoteReplica(OncePartition &partition, bool complete, Duration retention,
                    MonoTime now);

/// \param identity an identity such as `tema-a@57:permit-1`.
/// \returns the revision of the owner map in the prefix, or 0 if there is none.
std::int64_t identityRevision(const RequestId &identity);

/// Determines the home zone and partition of an identity, which are the same on
/// every VM.
/// \param identity the request's identity, with or without a zone prefix.
/// \param zones all configured zones.
/// \param homeZones zones of the team's first region, used for identities
/// without a zone prefix.
OnceHome locateHome(const RequestId &identity, const std::vector<ZoneId> &zones,
                    const std::vector<ZoneId> &homeZones);

} // namespace savorylb

#endif // SAVORYLB_ONCE_LEDGER_H
