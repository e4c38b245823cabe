#ifndef SAVORYLB_BLOCK_ENTRY_H
#define SAVORYLB_BLOCK_ENTRY_H

#include <cstdint>
#include <string>

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

/// Orders blocks by first address, enclosing blocks first.
inline bool isBefore(const BlockEntry &a, const BlockEntry &b) {
  return a.First != b.First ? a.First < b.First
                            : a.PrefixLength < b.PrefixLength;
}

/// \returns whether both are the same block of addresses.
inline bool isSameBlock(const BlockEntry &a, const BlockEntry &b) {
  return a.First == b.First && a.PrefixLength == b.PrefixLength;
}

/// Reads an IPv4 block such as `10.1.0.0/16`.
/// \returns whether it is one, without address bits beyond the prefix.
bool parseBlock(const std::string &text, BlockEntry &entry);

/// \returns the block as `10.1.0.0/16`.
std::string formatBlock(const BlockEntry &entry);

} // namespace savorylb

#endif // SAVORYLB_BLOCK_ENTRY_H
