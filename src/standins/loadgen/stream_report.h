#ifndef SAVORYLB_STANDINS_STREAM_REPORT_H
#define SAVORYLB_STANDINS_STREAM_REPORT_H

#include "request_record.h"
#include "second_counts.h"
#include "stream_plan.h"

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savorylb::standin {

/// The results of one stream.
class StreamReport {
public:
  using Clock = std::chrono::steady_clock;

  explicit StreamReport(Clock::time_point start) : Start(start) {}

  /// Counts a request as sent and keeps its end.
  void note(const RequestRecord &rec, Clock::time_point sentAt);
  /// Counts an arrival that was not sent because of the bound on requests in
  /// flight.
  void skip();

  /// \returns totals and latencies.
  Json::Value summary(const StreamPlan &plan) const;
  /// \returns counts by second.
  Json::Value timeline() const;
  /// \returns one row for each request with an identity.
  Json::Value identities() const;

private:
  struct Ended {
    std::string Identity;
    Outcome End;
    std::string Reason;
    bool Repeat;
  };

  std::size_t secondOf(Clock::time_point t) const;

  const Clock::time_point Start;
  mutable std::mutex Lock;
  SecondCounts Totals;
  std::map<std::size_t, SecondCounts> Seconds;
  std::uint64_t Skipped = 0, Repeats = 0, Attempts = 0, RanTwice = 0;
  std::map<std::string, std::uint64_t> NotRun, Unknown, Lost, WrongReasons;
  std::map<std::string, std::uint64_t> Versions;
  /// Answers by VM, and the milliseconds of the last one.
  std::map<std::string, std::pair<std::uint64_t, std::int64_t>> ServedBy;
  /// Microseconds of the requests that were done.
  std::vector<std::uint32_t> Latencies;
  std::vector<std::uint32_t> StartLags;
  std::vector<Ended> Ends;
};

/// \returns median, 99th percentile and maximum of microseconds.
Json::Value latencyJson(std::vector<std::uint32_t> micros);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_STREAM_REPORT_H
