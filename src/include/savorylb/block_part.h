#ifndef SAVORYLB_BLOCK_PART_H
#define SAVORYLB_BLOCK_PART_H

#include "savorylb/block_entry.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// The client blocks of one stored document. BlockEntry::Site is an index into
/// Sites.
struct BlockPart {
  Revision Rev;
  std::vector<SiteId> Sites;
  std::vector<BlockEntry> Blocks;
};

} // namespace savorylb

#endif // SAVORYLB_BLOCK_PART_H
