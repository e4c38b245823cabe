#ifndef SAVORYLB_HASH_H
#define SAVORYLB_HASH_H

#include <cstdint>
#include <string_view>

namespace savorylb {

/// FNV-1a with a final mix; the same on every VM and in every release, since
/// homes of identities depend on it.
/// \param text what to hash.
/// \param seed start value, to hash pairs.
/// \returns 64 well-mixed bits.
std::uint64_t stableHash(std::string_view text,
                         std::uint64_t seed = 0xcbf29ce484222325ULL);

} // namespace savorylb

#endif // SAVORYLB_HASH_H
