#include "savorylb/hash.h"

namespace savorylb {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) {
  constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;
  std::uint64_t h = seed;
  for (unsigned char c : text) {
    h ^= c;
    h *= FnvPrime;
  }
  // FNV mixes the low bits of short texts poorly.
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  return h;
}

} // namespace savorylb
