#ifndef SAVORYLB_BLOCK_TABLE_H
#define SAVORYLB_BLOCK_TABLE_H

#include "savorylb/block_entry.h"
#include "savorylb/config.h"
#include "savorylb/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

static_assert(sizeof(BlockEntry) == 8, "530,000 blocks must fit in 4 MB");

/// Client blocks sorted by first address; the longest prefix wins.
struct BlockTable {
  std::vector<BlockEntry> Blocks;
  std::vector<SiteSpec> Sites;
};

/// \param blocks configured blocks.
/// \param sites configured sites.
/// \returns a table ready for findSite(); bad blocks are left out.
BlockTable makeBlockTable(const std::vector<BlockSpec> &blocks,
                          const std::vector<SiteSpec> &sites);

/// \param table the table.
/// \param address IPv4 address in host byte order.
/// \returns the site of the longest matching block, or null.
const SiteSpec *findSite(const BlockTable &table, std::uint32_t address);

/// \returns the address in host byte order, or nothing when it is not IPv4.
std::optional<std::uint32_t> parseIpv4(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_TABLE_H
