#ifndef SAVORYLB_STANDINS_REQUEST_RECORD_H
#define SAVORYLB_STANDINS_REQUEST_RECORD_H

#include "outcome.h"

#include <cstdint>
#include <string>

namespace savorylb::standin {

/// Result of a request.
struct RequestRecord {
  Outcome FinalOutcome = Outcome::NotRun;
  /// Reason of the outcome or of a wrong response, or "".
  std::string Reason;
  /// Idempotency key, or the nonce of a request without one.
  std::string Identity;
  bool Repeat = false;
  /// The response is malformed or does not match the request.
  bool Wrong = false;
  /// The response was truncated.
  bool Truncated = false;
  /// The target ran the request and failed.
  bool Failed = false;
  /// The target reported more than one execution of the identity.
  bool RanTwice = false;
  int Attempts = 0;
  std::string Version;
  std::string ServedBy;
  /// Time from the due time of the request until its start.
  std::int64_t StartLagMicros = 0;
  /// Time from the start of the request until its end, including the lookup.
  std::int64_t LatencyMicros = 0;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_REQUEST_RECORD_H
