#ifndef SAVORYLB_STORE_VALUE_H
#define SAVORYLB_STORE_VALUE_H

#include <cstdint>
#include <string>

namespace savorylb {

/// A value in the store and the index of its last change.
struct StoreValue {
  std::string Content;
  std::uint64_t ModifyIndex = 0;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_VALUE_H
