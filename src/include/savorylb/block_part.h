#ifndef SAVORYLB_BLOCK_PART_H
#define SAVORYLB_BLOCK_PART_H

#include "savorylb/block_entry.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// Client blocks of one document; the blocks name their sites by number.
struct BlockPart {
  Revision Rev;
  std::vector<SiteId> Sites;
  std::vector<BlockEntry> Blocks;
};

} // namespace savorylb

#endif // SAVORYLB_BLOCK_PART_H
