#ifndef SAVORYLB_STANDINS_REQUEST_JOB_H
#define SAVORYLB_STANDINS_REQUEST_JOB_H

#include <chrono>
#include <cstddef>
#include <string>

namespace savorylb::standin {

/// A request to send, or the repeat of an earlier one.
struct RequestJob {
  using Clock = std::chrono::steady_clock;

  std::size_t Stream = 0;
  Clock::time_point Due;
  /// Unique for each first request and the same in its repeat. It is part of
  /// the path, which the target returns, so that a response to another request
  /// is detected.
  std::string Nonce;
  /// Idempotency key of an at-most-once request, assigned before its first
  /// attempt; a repeat keeps it.
  std::string Identity;
  bool Repeat = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_REQUEST_JOB_H
