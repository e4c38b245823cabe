#ifndef SAVORYLB_ENQUEUE_RESULT_H
#define SAVORYLB_ENQUEUE_RESULT_H

#include "savorylb/units.h"

#include <cstdint>
#include <optional>

namespace savorylb {

/// Outcome of enqueueRequest().
struct EnqueueResult {
  bool Accepted = false;
  std::uint64_t Ticket = 0;
  /// Ticket of the request that was removed to make room for this one.
  std::optional<std::uint64_t> Evicted;
  /// Expected wait, for `retry_after_ms`.
  Duration ExpectedWait{};
};

} // namespace savorylb

#endif // SAVORYLB_ENQUEUE_RESULT_H
