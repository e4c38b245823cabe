#ifndef SAVORYLB_STANDINS_OUTCOME_COUNTS_H
#define SAVORYLB_STANDINS_OUTCOME_COUNTS_H

#include "request_record.h"

#include <json/json.h>

#include <cstdint>

namespace savorylb::standin {

/// Number of requests by outcome, in a whole run or in one second of it. Over a
/// run, Sent is the sum of Done, NotRun, Unknown and Lost; the other counts are
/// subsets of these. By second, requests are in Sent at their start and in the
/// other counts at their end.
struct OutcomeCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Truncated = 0;
  std::uint64_t Failed = 0;
  /// Maximum latency of the requests that were done.
  std::int64_t MaxLatencyMicros = 0;

  /// Counts the outcome of a request. Does not change Sent.
  void addOutcome(const RequestRecord &rec);
  /// Adds the counts as members to a JSON object.
  void writeTo(Json::Value &out) const;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_OUTCOME_COUNTS_H
