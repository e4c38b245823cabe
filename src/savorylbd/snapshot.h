#ifndef SAVORYLB_SAVORYLBD_SNAPSHOT_H
#define SAVORYLB_SAVORYLBD_SNAPSHOT_H

#include "savorylb/block_table.h"
#include "savorylb/config.h"
#include "savorylb/key_ring.h"

#include <memory>

namespace savorylb {

/// The current configuration and keys. A request uses the same snapshot until
/// it ends, but checks its key again before it is sent to a target.
struct Snapshot {
  Config Conf;
  /// Shared between snapshots: a copy of 530,000 blocks for each new set of
  /// keys would cost 4 MB.
  std::shared_ptr<const BlockTable> Blocks = std::make_shared<BlockTable>();
  /// Revision of the index that lists the active block parts.
  Revision BlocksRev;
  KeyRing Keys;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SNAPSHOT_H
