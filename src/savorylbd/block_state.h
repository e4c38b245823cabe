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

/// Key of the index, which lists the valid parts of the client blocks.
inline constexpr char BlockIndexKey[] = "savory/v1/blocks";
/// Prefix of the parts. It is not below DocumentPrefix: a watch of the store
/// returns all values of its prefix, which would be some 10 MB with the parts.
inline constexpr char BlockPartsPrefix[] = "savory/blocks/v1/";

/// Client blocks that are kept in separate documents; guarded by
/// DocumentState::AdoptLock.
struct BlockState {
  std::map<std::size_t, std::shared_ptr<const BlockPart>> Parts;
  BlockIndex Index;
  /// The last complete set of parts, and the revision of the index that listed
  /// it.
  std::vector<std::shared_ptr<const BlockPart>> ActiveParts;
  Revision ActiveRev;
};

/// \returns the store key of a part.
std::string blockPartKey(std::size_t number);

/// Applies a received part or index.
/// \returns an empty text, or the reason why the document is invalid.
std::string applyBlockDocument(Daemon &daemon, const std::string &key,
                               const std::string &content);

/// Reads from the store the parts whose revision differs from the local copy.
/// \param indexContent content of the index in the store.
void fetchBlockParts(Daemon &daemon, const std::string &indexContent);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BLOCK_STATE_H
