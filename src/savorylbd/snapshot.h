#ifndef SAVORYLB_SAVORYLBD_SNAPSHOT_H
#define SAVORYLB_SAVORYLBD_SNAPSHOT_H

#include "savorylb/block_table.h"
#include "savorylb/config.h"
#include "savorylb/key_ring.h"

#include <memory>

namespace savorylb {

/// Configuration and keys in force; requests hold one for their whole life but
/// check the key again before they are sent.
struct Snapshot {
  Config Conf;
  /// Shared: a copy of 530,000 blocks for each new set of keys costs 4 MB.
  std::shared_ptr<const BlockTable> Blocks = std::make_shared<BlockTable>();
  /// Revision of the index of the block parts in force.
  Revision BlocksRev;
  KeyRing Keys;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SNAPSHOT_H
