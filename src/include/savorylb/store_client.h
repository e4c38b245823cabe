#ifndef SAVORYLB_STORE_CLIENT_H
#define SAVORYLB_STORE_CLIENT_H

#include "savorylb/error.h"
#include "savorylb/store_listing.h"
#include "savorylb/store_value.h"
#include "savorylb/units.h"

#include <cstdint>
#include <functional>
#include <string>

namespace savorylb {

/// The edge to the platform's key-value store.
struct StoreClient {
  /// Reads one value; NotFound when there is none.
  std::function<Result<StoreValue>(const std::string &key)> Get;
  /// Lists a prefix. With an index it waits until something changes, at most
  /// for the given time. An answer of the same index is not read any further.
  std::function<Result<StoreListing>(const std::string &prefix,
                                     std::uint64_t afterIndex, Duration wait)>
      List;
  /// Writes when the value's index is still the given one; 0 means that the
  /// key must not exist. Conflict when it is not; Unknown when the call may
  /// have taken effect.
  std::function<Result<void>(const std::string &key, const std::string &value,
                             std::uint64_t expectedIndex)>
      CompareAndSwap;
  /// Removes a key; a key that does not exist is no error. May be unset in
  /// clients that never remove.
  std::function<Result<void>(const std::string &key)> Remove;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_CLIENT_H
