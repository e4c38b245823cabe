#ifndef SAVORYLB_BLOCK_INDEX_H
#define SAVORYLB_BLOCK_INDEX_H

#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// The revisions of the block parts that are in force together.
struct BlockIndex {
  Revision Rev;
  /// Minimum revision of each part.
  std::vector<Revision> Parts;
};

} // namespace savorylb

#endif // SAVORYLB_BLOCK_INDEX_H
