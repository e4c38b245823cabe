#ifndef SAVORYLB_ONCE_PARTITION_H
#define SAVORYLB_ONCE_PARTITION_H

#include "savorylb/ids.h"
#include "savorylb/once_entry.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>

namespace savorylb {

/// The entries of one ledger partition, on its home VM or as a replica on the
/// successor.
struct OncePartition {
  std::map<RequestId, OnceEntry> Entries;
  /// Until this time an identity without an entry is answered with Unknown,
  /// because its entry may have been lost.
  MonoTime QuarantinedUntil{};
  /// Revision of the owner map at which entries may have been lost. An identity
  /// whose prefix names this revision or a later one was created afterwards, so
  /// it cannot have had an entry.
  std::int64_t QuarantineRevision = 0;
  std::uint64_t NextNumber = 1;
};

} // namespace savorylb

#endif // SAVORYLB_ONCE_PARTITION_H
