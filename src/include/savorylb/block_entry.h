#ifndef SAVORYLB_BLOCK_ENTRY_H
#define SAVORYLB_BLOCK_ENTRY_H

#include <cstdint>
#include <string>

namespace savorylb {

/// A CIDR block of client addresses. It takes 8 bytes, so that 530,000 blocks
/// take 4.24 MB.
struct BlockEntry {
  /// First address, in host byte order.
  std::uint32_t First = 0;
  /// Index of the site in the list that belongs to the blocks.
  std::uint16_t Site = 0;
  std::uint8_t PrefixLength = 0;
  /// Prefix length of the smallest enclosing block in the table. It occupies
  /// a byte that would otherwise be padding.
  std::uint8_t ParentLength = NoParent;

  static constexpr std::uint8_t NoParent = 255;
};
static_assert(sizeof(BlockEntry) == 8,
              "BlockEntry must stay at 8 bytes: 530,000 blocks take 4.24 MB");

/// Orders blocks by first address, then by prefix length, so that an enclosing
/// block precedes the blocks in it.
inline bool isBefore(const BlockEntry &a, const BlockEntry &b) {
  return a.First != b.First ? a.First < b.First
                            : a.PrefixLength < b.PrefixLength;
}

/// \returns whether both blocks cover the same addresses.
inline bool isSameBlock(const BlockEntry &a, const BlockEntry &b) {
  return a.First == b.First && a.PrefixLength == b.PrefixLength;
}

/// Parses an IPv4 block such as `10.1.0.0/16`.
/// \returns false when the text is malformed or has host bits set.
bool parseBlock(const std::string &text, BlockEntry &entry);

/// \returns the block in CIDR notation, such as `10.1.0.0/16`.
std::string formatBlock(const BlockEntry &entry);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_ENTRY_H
