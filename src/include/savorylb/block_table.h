#ifndef SAVORYLB_BLOCK_TABLE_H
#define SAVORYLB_BLOCK_TABLE_H

#include "savorylb/config.h"
#include "savorylb/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// One block of client addresses; eight bytes, so that 530,000 fit in 4 MB.
struct BlockEntry {
  std::uint32_t First = 0;
  std::uint16_t Site = 0;
  std::uint8_t PrefixLength = 0;
  /// Prefix length of the smallest enclosing block of the table; this uses the
  /// byte that alignment would leave unused.
  std::uint8_t ParentLength = NoParent;

  static constexpr std::uint8_t NoParent = 255;
};
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
