#ifndef SAVORYLB_BLOCK_ENTRY_H
#define SAVORYLB_BLOCK_ENTRY_H

#include <cstdint>

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

} // namespace savorylb

#endif // SAVORYLB_BLOCK_ENTRY_H
