#ifndef SAVORYLB_BLOCK_TABLE_H
#define SAVORYLB_BLOCK_TABLE_H

#include "savorylb/block_parts.h"
#include "savorylb/config.h"
#include "savorylb/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// Client blocks sorted by first address, for longest prefix matching.
struct BlockTable {
  std::vector<BlockEntry> Blocks;
  std::vector<SiteSpec> Sites;
};

/// Builds the table for findSite(). Malformed blocks and blocks of sites that
/// are not configured are omitted.
/// \param parts blocks from separate documents; a configured block with the
/// same addresses takes precedence.
BlockTable
makeBlockTable(const std::vector<BlockSpec> &blocks,
               const std::vector<SiteSpec> &sites,
               const std::vector<std::shared_ptr<const BlockPart>> &parts = {});

/// \param address IPv4 address in host byte order.
/// \returns the site of the smallest block that contains the address, or null.
const SiteSpec *findSite(const BlockTable &table, std::uint32_t address);

/// Parses an IPv4 address in dotted decimal notation.
/// \returns the address in host byte order, or nothing when the text is
/// malformed.
std::optional<std::uint32_t> parseIpv4(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_TABLE_H
