#ifndef SAVORYLB_STANDINS_SECOND_COUNTS_H
#define SAVORYLB_STANDINS_SECOND_COUNTS_H

#include "request_record.h"

#include <json/json.h>

#include <cstdint>

namespace savorylb::standin {

/// Requests by outcome. Sent is the sum of the four outcomes; the other counts
/// are parts of them.
struct SecondCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Truncated = 0;
  std::uint64_t Failed = 0;
  /// Longest time of a request that was done.
  std::int64_t MaxMicros = 0;

  /// Counts the end of a request.
  void addEnd(const RequestRecord &rec);
  /// Adds the counts to a JSON object.
  void write(Json::Value &out) const;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_SECOND_COUNTS_H
