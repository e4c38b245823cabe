#ifndef SAVORYLB_STANDINS_STREAM_REPORT_H
#define SAVORYLB_STANDINS_STREAM_REPORT_H

#include "outcome_counts.h"
#include "request_record.h"
#include "stream_plan.h"

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Results of the requests of one stream. Thread-safe.
class StreamReport {
public:
  using Clock = std::chrono::steady_clock;

  explicit StreamReport(Clock::time_point start) : Start(start) {}

  /// Records a request that has ended.
  void record(const RequestRecord &rec, Clock::time_point sentAt);
  /// Counts a request that was not sent because too many were in flight.
  void countSkipped();

  /// \returns the totals and latency percentiles.
  Json::Value summary(const StreamPlan &plan) const;
  /// \returns the counts by second of the run.
  Json::Value timeline() const;
  /// \returns one row for each request.
  Json::Value identities() const;

private:
  struct RequestRow {
    std::string Identity;
    Outcome FinalOutcome;
    std::string Reason;
    bool Repeat;
  };

  std::size_t secondOf(Clock::time_point t) const;

  const Clock::time_point Start;
  mutable std::mutex Lock;
  OutcomeCounts Totals;
  std::map<std::size_t, OutcomeCounts> Seconds;
  std::uint64_t Skipped = 0, Repeats = 0, Attempts = 0, RanTwice = 0;
  std::map<std::string, std::uint64_t> NotRunReasons, UnknownReasons,
      LostReasons, WrongReasons;
  std::map<std::string, std::uint64_t> Versions;
  /// By VM, the number of requests that it answered and the time of the last
  /// one in milliseconds since the start.
  std::map<std::string, std::pair<std::uint64_t, std::int64_t>> ServedBy;
  /// Latencies in microseconds of the requests that were done.
  std::vector<std::uint32_t> Latencies;
  std::vector<std::uint32_t> StartLags;
  std::vector<RequestRow> Rows;
};

/// \returns median, 99th percentile and maximum.
Json::Value latencyJson(std::vector<std::uint32_t> micros);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STREAM_REPORT_H
