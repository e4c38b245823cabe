#ifndef SAVORYLB_TARGET_RESPONSE_H
#define SAVORYLB_TARGET_RESPONSE_H

#include "savorylb/header_list.h"
#include "savorylb/target_outcome.h"
#include "savorylb/units.h"

#include <cstdint>
#include <string>

namespace savorylb {

/// A target's response, or why there is none.
struct TargetResponse {
  TargetOutcome Outcome = TargetOutcome::Unknown;
  int Status = 0;
  HeaderList Headers;
  /// Small bodies; larger ones went to the sink.
  std::string Body;
  bool Streamed = false;
  /// Bytes of the body, streamed or not.
  std::int64_t BodyBytes = 0;
  /// Bytes of the request body that were sent.
  std::int64_t SentBytes = 0;
  /// `shed`, `truncated`, `crossed`, `timeout`, `connect`, `cancelled`,
  /// `silent`, ...
  std::string Reason;
  Duration Took{};
  /// The request was left and the target has not shown that it stopped.
  bool MayRun = false;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_RESPONSE_H
