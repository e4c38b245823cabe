#ifndef SAVORYLB_BLOCK_INDEX_H
#define SAVORYLB_BLOCK_INDEX_H

#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// Names the block parts that make up one revision of the block table. A VM
/// activates them together, once it holds each part in at least this
/// revision.
struct BlockIndex {
  Revision Rev;
  /// Minimum revision of each part.
  std::vector<Revision> MinRevisions;
};

} // namespace savorylb

#endif // SAVORYLB_BLOCK_INDEX_H
