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

/// Client blocks sorted by first address; the longest prefix wins.
struct BlockTable {
  std::vector<BlockEntry> Blocks;
  std::vector<SiteSpec> Sites;
};

/// \param blocks configured blocks.
/// \param sites configured sites.
/// \param parts blocks of documents of their own; a configured one of the same
/// addresses comes first.
/// \returns a table ready for findSite(); bad blocks, and blocks of sites that
/// are not configured, are left out.
BlockTable
makeBlockTable(const std::vector<BlockSpec> &blocks,
               const std::vector<SiteSpec> &sites,
               const std::vector<std::shared_ptr<const BlockPart>> &parts = {});

/// \param table the table.
/// \param address IPv4 address in host byte order.
/// \returns the site of the longest matching block, or null.
const SiteSpec *findSite(const BlockTable &table, std::uint32_t address);

/// \returns the address in host byte order, or nothing when it is not IPv4.
std::optional<std::uint32_t> parseIpv4(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_TABLE_H
