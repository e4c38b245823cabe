#include "savorylb/block_table.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace savorylb {

namespace {

std::uint32_t prefixMask(int length) {
  return length == 0 ? 0 : ~std::uint32_t(0) << (32 - length);
}

bool contains(const BlockEntry &entry, std::uint32_t address) {
  return (address & prefixMask(entry.PrefixLength)) == entry.First;
}

// Parses a decimal number without a sign or leading zeros.
bool parseNumber(const std::string &text, unsigned limit, unsigned &value) {
  if (text.empty() || text.size() > 3 || (text.size() > 1 && text[0] == '0'))
    return false;
  value = 0;
  for (char c : text) {
    if (c < '0' || c > '9')
      return false;
    value = value * 10 + static_cast<unsigned>(c - '0');
  }
  return value <= limit;
}

// Sets the parent length of each block; the blocks must be sorted.
void setParentLengths(std::vector<BlockEntry> &blocks) {
  std::vector<BlockEntry> open;
  for (BlockEntry &entry : blocks) {
    while (!open.empty() && !contains(open.back(), entry.First))
      open.pop_back();
    entry.ParentLength =
        open.empty() ? BlockEntry::NoParent : open.back().PrefixLength;
    open.push_back(entry);
  }
}

} // namespace

bool parseBlock(const std::string &text, BlockEntry &entry) {
  auto slash = text.find('/');
  if (slash == std::string::npos)
    return false;
  auto first = parseIpv4(text.substr(0, slash));
  unsigned length = 0;
  if (!first || !parseNumber(text.substr(slash + 1), 32, length))
    return false;
  entry.First = *first;
  entry.PrefixLength = static_cast<std::uint8_t>(length);
  // Host bits are rejected, because it is unclear which block was meant.
  return contains(entry, *first);
}

std::string formatBlock(const BlockEntry &entry) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += std::to_string(entry.First >> shift & 255) + (shift ? "." : "/");
  return out + std::to_string(entry.PrefixLength);
}

BlockTable
makeBlockTable(const std::vector<BlockSpec> &blocks,
               const std::vector<SiteSpec> &sites,
               const std::vector<std::shared_ptr<const BlockPart>> &parts) {
  BlockTable table;
  table.Sites = sites;
  std::map<SiteId, std::uint16_t> numbers;
  for (std::size_t i = 0; i < sites.size() && i <= UINT16_MAX; ++i)
    numbers.emplace(sites[i].Name, static_cast<std::uint16_t>(i));
  std::size_t total = blocks.size();
  for (const auto &part : parts)
    total += part->Blocks.size();
  table.Blocks.reserve(total);
  for (const BlockSpec &spec : blocks) {
    BlockEntry entry;
    auto site = numbers.find(spec.Site);
    if (site == numbers.end() || !parseBlock(spec.Cidr, entry))
      continue;
    entry.Site = site->second;
    table.Blocks.push_back(entry);
  }
  for (const auto &part : parts) {
    std::vector<std::optional<std::uint16_t>> known;
    for (const SiteId &it : part->Sites) {
      auto site = numbers.find(it);
      known.push_back(site == numbers.end() ? std::nullopt
                                            : std::optional(site->second));
    }
    for (BlockEntry entry : part->Blocks) {
      if (!known[entry.Site])
        continue;
      entry.Site = *known[entry.Site];
      table.Blocks.push_back(entry);
    }
  }
  // The sort is stable, so that every VM keeps the first of duplicate blocks.
  std::stable_sort(table.Blocks.begin(), table.Blocks.end(), isBefore);
  table.Blocks.erase(
      std::unique(table.Blocks.begin(), table.Blocks.end(), isSameBlock),
      table.Blocks.end());
  setParentLengths(table.Blocks);
  return table;
}

const SiteSpec *findSite(const BlockTable &table, std::uint32_t address) {
  // Either the last block that starts at or before the address is the smallest
  // block that contains the address, or the smallest one encloses that block.
  // In the latter case the enclosing blocks are searched from the smallest to
  // the largest.
  BlockEntry key;
  key.First = address;
  key.PrefixLength = 32;
  auto end = table.Blocks.end();
  while (true) {
    auto it = std::upper_bound(table.Blocks.begin(), end, key, isBefore);
    if (it == table.Blocks.begin())
      return nullptr;
    const BlockEntry &entry = *--it;
    if (contains(entry, address))
      return &table.Sites[entry.Site];
    if (entry.ParentLength == BlockEntry::NoParent)
      return nullptr;
    key.PrefixLength = entry.ParentLength;
    key.First = entry.First & prefixMask(entry.ParentLength);
    end = it;
  }
}

std::optional<std::uint32_t> parseIpv4(const std::string &text) {
  std::uint32_t address = 0;
  std::size_t begin = 0;
  for (int i = 0; i < 4; ++i) {
    std::size_t end = i < 3 ? text.find('.', begin) : text.size();
    unsigned value = 0;
    if (end == std::string::npos ||
        !parseNumber(text.substr(begin, end - begin), 255, value))
      return std::nullopt;
    address = address << 8 | value;
    begin = end + 1;
  }
  return address;
}

} // namespace savorylb
