#ifndef SAVORYLB_VERSION_COUNTS_H
#define SAVORYLB_VERSION_COUNTS_H

#include <cstdint>

namespace savorylb {

/// Total and bad results of the old and the new version.
struct VersionCounts {
  std::uint64_t OldTotal = 0;
  std::uint64_t OldBad = 0;
  std::uint64_t NewTotal = 0;
  std::uint64_t NewBad = 0;
};

} // namespace savorylb

#endif // SAVORYLB_VERSION_COUNTS_H
