#ifndef SAVORYLB_SAVORYLBD_BLOCK_STATE_H
#define SAVORYLB_SAVORYLBD_BLOCK_STATE_H

#include "savorylb/block_parts.h"
#include "savorylb/block_table.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorylb {

struct Daemon;

/// Names the parts of the client blocks that are in force.
inline constexpr char BlockIndexKey[] = "savory/v1/blocks";
/// The parts lie outside the prefix of the watched documents: a watch of the
/// store answers with all values of its prefix, some 10 MB with the parts.
inline constexpr char BlockPartsPrefix[] = "savory/blocks/v1/";

/// Client blocks of documents of their own; guarded by
/// DocumentState::AdoptLock.
struct BlockState {
  std::map<std::size_t, std::shared_ptr<const BlockPart>> Parts;
  BlockIndex Index;
  /// The last whole set of parts, and the revision of the index that named it.
  std::vector<std::shared_ptr<const BlockPart>> InForce;
  Revision InForceRev;
};

/// \returns the key of a part.
std::string blockPartKey(std::size_t number);

/// Takes in a part or the index.
/// \returns an empty text, or why the document is not valid.
std::string applyBlocks(Daemon &daemon, const std::string &key,
                        const std::string &content);

/// Reads the parts from the store of which it holds another revision than this
/// VM.
/// \param indexContent the index that the store holds.
void fetchBlockParts(Daemon &daemon, const std::string &indexContent);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BLOCK_STATE_H
