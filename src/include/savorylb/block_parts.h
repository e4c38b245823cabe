#ifndef SAVORYLB_BLOCK_PARTS_H
#define SAVORYLB_BLOCK_PARTS_H

#include "savorylb/block_entry.h"
#include "savorylb/block_index.h"
#include "savorylb/block_part.h"
#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstddef>
#include <string>
#include <vector>

namespace savorylb {

/// Largest document of a part; the store takes values up to 1 MB.
constexpr std::size_t MaxPartBytes = 900'000;
/// The number of parts is a power of two up to this one.
constexpr std::size_t MaxBlockParts = 256;

/// Reads a document that formatBlockPart() wrote.
/// \param key key of the document, named in findings.
BlockPart parseBlockPart(const std::string &key, const std::string &text,
                         Findings &findings);
/// \returns the document `{"blocks":"CIDR=n ...","revision":r,"sites":[...]}`.
std::string formatBlockPart(const BlockPart &part);

/// Reads a document that formatBlockIndex() wrote.
BlockIndex parseBlockIndex(const std::string &key, const std::string &text,
                           Findings &findings);
/// \returns the document `{"parts":[r, ...],"revision":r}`.
std::string formatBlockIndex(const BlockIndex &index);

/// Reads an operator's file: a line `CIDR SITE` for each block, `#` starts a
/// comment.
/// \param file file name, named in findings.
BlockPart parseBlockList(const std::string &file, const std::string &text,
                         Findings &findings);

/// Splits blocks by a hash of their address, so that a changed block changes
/// one part only.
/// \param all the blocks.
/// \param parts least number of parts, a power of two; it is doubled until
/// each part fits into MaxPartBytes.
/// \returns the parts without revision.
std::vector<BlockPart> splitBlocks(const BlockPart &all, std::size_t parts);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_PARTS_H
