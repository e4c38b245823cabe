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

/// Interface to the platform's key-value store.
struct StoreClient {
  /// Reads one value; NotFound if the key does not exist.
  std::function<Result<StoreValue>(const std::string &key)> Get;
  /// Lists the values under a prefix. With a non-zero index the call waits for
  /// a change after that index, at most for the given time. A response with the
  /// same index is not parsed.
  std::function<Result<StoreListing>(const std::string &prefix,
                                     std::uint64_t afterIndex, Duration wait)>
      List;
  /// Writes the value if its index still equals the given one; 0 requires that
  /// the key does not exist. Conflict if the index differs; Unknown if the call
  /// may have taken effect.
  std::function<Result<void>(const std::string &key, const std::string &value,
                             std::uint64_t expectedIndex)>
      CompareAndSwap;
  /// Removes a key; succeeds if the key does not exist. May be unset in clients
  /// that never remove keys.
  std::function<Result<void>(const std::string &key)> Remove;
};

} // namespace savorylb

#endif // SAVORYLB_STORE_CLIENT_H
