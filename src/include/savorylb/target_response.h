#ifndef SAVORYLB_TARGET_RESPONSE_H
#define SAVORYLB_TARGET_RESPONSE_H

#include "savorylb/header_list.h"
#include "savorylb/target_outcome.h"
#include "savorylb/units.h"

#include <cstdint>
#include <string>

namespace savorylb {

/// Response of a target, or the reason for its absence.
struct TargetResponse {
  TargetOutcome Outcome = TargetOutcome::Unknown;
  int Status = 0;
  HeaderList Headers;
  /// The body, unless it was streamed to the sink.
  std::string Body;
  bool Streamed = false;
  /// Size of the body in bytes, streamed or not.
  std::int64_t BodyBytes = 0;
  /// Number of bytes of the request body that were sent.
  std::int64_t SentBytes = 0;
  /// `shed`, `truncated`, `crossed`, `timeout`, `connect`, `cancelled`,
  /// `silent`, ...
  std::string Reason;
  Duration Took{};
  /// The request was abandoned, and the target has not confirmed that it
  /// stopped.
  bool MayStillRun = false;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_RESPONSE_H
