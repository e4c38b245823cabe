#ifndef SAVORYLB_STANDINS_KV_LISTING_H
#define SAVORYLB_STANDINS_KV_LISTING_H

#include "kv_entry.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savorylb::standin {

/// Result of a read.
struct KvListing {
  /// Highest modify index of the keys read, including deleted ones.
  std::uint64_t Index = 1;
  std::vector<std::pair<std::string, KvEntry>> Entries;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_KV_LISTING_H
