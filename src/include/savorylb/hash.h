#ifndef SAVORYLB_HASH_H
#define SAVORYLB_HASH_H

#include <cstdint>
#include <string_view>

namespace savorylb {

/// Computes a 64-bit FNV-1a hash with a final mixing step. The result must be
/// the same on every VM and in every release, because it selects the home of a
/// request identity.
/// \param seed initial hash value; pass the hash of the first text to hash a
/// pair.
std::uint64_t stableHash(std::string_view text,
                         std::uint64_t seed = 0xcbf29ce484222325ULL);

} // namespace savorylb

#endif // SAVORYLB_HASH_H
