#ifndef SAVORYLB_STANDINS_REQUEST_JOB_H
#define SAVORYLB_STANDINS_REQUEST_JOB_H

#include <chrono>
#include <cstddef>
#include <string>

namespace savorylb::standin {

/// A request that is due, or the repeat of one.
struct RequestJob {
  using Clock = std::chrono::steady_clock;

  std::size_t Stream = 0;
  Clock::time_point Due;
  /// Unique for the request and kept by its repeat; part of the path, so that
  /// the target's echo of the path shows a crossed answer.
  std::string Nonce;
  /// Identity of a repeat; empty for a first request.
  std::string Identity;
  bool Repeat = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_REQUEST_JOB_H
