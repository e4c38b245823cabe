#ifndef SAVORYLB_STANDINS_GENERATOR_H
#define SAVORYLB_STANDINS_GENERATOR_H

#include "connection_pool.h"
#include "load_options.h"
#include "lookup_cache.h"
#include "request_job.h"
#include "stream_plan.h"
#include "stream_report.h"

#include <json/json.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

namespace savorylb::standin {

/// Sends the traffic of a plan: arrivals at their own times, whatever becomes
/// of earlier requests.
class Generator {
public:
  Generator(const LoadOptions &opt, std::vector<StreamPlan> plans);

  /// Runs for the given seconds and waits for the requests in flight.
  void run();

  /// \param full true for timeline and identities.
  Json::Value report(bool full) const;

private:
  using Clock = RequestJob::Clock;

  /// One stream at work.
  struct Stream {
    StreamPlan Plan;
    std::unique_ptr<LookupCache> Lookups;
    std::unique_ptr<StreamReport> Report;
    std::mt19937_64 Random;
    Clock::time_point NextArrival;
    std::uint64_t Arrivals = 0;
  };

  void dispatchUntil(Clock::time_point end);
  void arrive(std::size_t stream);
  void start(RequestJob job);
  void work();
  void perform(RequestJob job);
  void planRepeat(const RequestJob &job);
  double untilNext(Stream &it);

  const LoadOptions Opt;
  ConnectionPool Pool;
  std::vector<Stream> Streams;
  Clock::time_point Begin;
  std::int64_t BeginEpochMs = 0;

  std::mutex Lock;
  std::condition_variable Queued;
  std::deque<RequestJob> Queue;
  /// Repeats that are not due yet.
  std::vector<RequestJob> Repeats;
  int InFlight = 0;
  bool Closed = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_GENERATOR_H
