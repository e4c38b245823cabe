#ifndef SAVORYLB_STORE_LISTING_H
#define SAVORYLB_STORE_LISTING_H

#include "savorylb/store_value.h"

#include <cstdint>
#include <map>
#include <string>

namespace savorylb {

/// Values under a prefix at one index of the store.
struct StoreListing {
  std::map<std::string, StoreValue> Values;
  std::uint64_t Index = 0;
  /// The wait ended without a change; Values is empty.
  bool Unchanged = false;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_LISTING_H
