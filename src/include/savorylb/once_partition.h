#ifndef SAVORYLB_ONCE_PARTITION_H
#define SAVORYLB_ONCE_PARTITION_H

#include "savorylb/ids.h"
#include "savorylb/once_entry.h"
#include "savorylb/units.h"

#include <cstdint>
#include <map>

namespace savorylb {

/// Entries of one partition at its home VM, or a replica at the successor.
struct OncePartition {
  std::map<RequestId, OnceEntry> Entries;
  /// Until then an identity never seen here answers Unknown, because entries
  /// of it may have been lost.
  MonoTime QuarantinedUntil{};
  /// Revision of the owner map at which entries may have been lost. An identity
  /// whose prefix names this revision or a later one was made afterwards.
  std::int64_t QuarantineRevision = 0;
  std::uint64_t NextNumber = 1;
};

} // namespace savorylb

#endif // SAVORYLB_ONCE_PARTITION_H
