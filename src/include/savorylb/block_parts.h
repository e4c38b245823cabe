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

/// Maximum size of a part's document. The store accepts values up to 1 MB.
constexpr std::size_t MaxPartBytes = 900'000;
/// Maximum number of parts; the number of parts is a power of two.
constexpr std::size_t MaxBlockParts = 256;

/// Parses a document written by formatBlockPart().
/// \param key store key of the document, used in findings.
BlockPart parseBlockPart(const std::string &key, const std::string &text,
                         Findings &findings);
/// \returns the document `{"blocks":"CIDR=n ...","revision":r,"sites":[...]}`.
std::string formatBlockPart(const BlockPart &part);

/// Parses a document written by formatBlockIndex().
BlockIndex parseBlockIndex(const std::string &key, const std::string &text,
                           Findings &findings);
/// \returns the document `{"parts":[r, ...],"revision":r}`.
std::string formatBlockIndex(const BlockIndex &index);

/// Parses an operator's file with one line `CIDR SITE` for each block; `#`
/// starts a comment.
/// \param file file name, used in findings.
BlockPart parseBlockList(const std::string &file, const std::string &text,
                         Findings &findings);

/// Distributes blocks over parts by a hash of their address, so that a change
/// to one block rewrites only one part.
/// \param parts initial number of parts, a power of two; it is doubled until
/// each part fits into MaxPartBytes or MaxBlockParts is reached.
/// \returns the parts, with no revision set.
std::vector<BlockPart> splitBlocks(const BlockPart &all, std::size_t parts);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_PARTS_H
