#ifndef SAVORYLB_STANDINS_REQUEST_RECORD_H
#define SAVORYLB_STANDINS_REQUEST_RECORD_H

#include "outcome.h"

#include <cstdint>
#include <string>

namespace savorylb::standin {

/// What became of one request.
struct RequestRecord {
  Outcome End = Outcome::NotRun;
  /// Reason of the last refusal or failure, or "".
  std::string Reason;
  /// Idempotency key, or the number in the query of a request without one.
  std::string Identity;
  bool Repeat = false;
  /// The answer belongs to another request.
  bool Wrong = false;
  /// The answer was cut.
  bool Truncated = false;
  /// The target ran the request and failed.
  bool Failed = false;
  /// The target said that it ran the identity more than once.
  bool RanTwice = false;
  int Attempts = 0;
  std::string Version;
  std::string ServedBy;
  std::int64_t StartLagMicros = 0;
  std::int64_t Micros = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_REQUEST_RECORD_H
