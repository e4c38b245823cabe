#ifndef SAVORYLB_ENQUEUE_RESULT_H
#define SAVORYLB_ENQUEUE_RESULT_H

#include "savorylb/units.h"

#include <cstdint>
#include <optional>

namespace savorylb {

/// What became of a request that asked to wait.
struct EnqueueResult {
  bool Accepted = false;
  std::uint64_t Ticket = 0;
  /// A request of another team that lost its place to this one.
  std::optional<std::uint64_t> Evicted;
  /// Expected wait, for `retry_after_ms`.
  Duration ExpectedWait{};
};

} // namespace savorylb

#endif // SAVORYLB_ENQUEUE_RESULT_H
