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
  BlockTable Blocks;
  KeyRing Keys;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SNAPSHOT_H
