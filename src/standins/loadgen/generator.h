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

/// Open-loop load generator: sends the requests of each stream with exponential
/// interarrival times, independent of the responses to earlier requests.
class Generator {
public:
  Generator(const LoadOptions &opt, std::vector<StreamPlan> plans);

  /// Sends requests for the duration in the options, then waits for those in
  /// flight. Repeats that are not due by the end of the duration are not sent.
  void run();

  /// \param full whether to include the timelines and identities.
  Json::Value report(bool full) const;

private:
  using Clock = RequestJob::Clock;

  /// State of one stream.
  struct Stream {
    StreamPlan Plan;
    std::unique_ptr<LookupCache> Lookups;
    std::unique_ptr<StreamReport> Report;
    std::mt19937_64 Random;
    Clock::time_point NextArrival;
    std::uint64_t Arrivals = 0;
  };

  /// Enqueues arrivals and repeats when they are due.
  void dispatchUntil(Clock::time_point end);
  void enqueueArrival(std::size_t stream);
  /// Queues a request for the workers, or counts it as skipped when too many
  /// are in flight.
  void enqueue(RequestJob job);
  void runWorker();
  void runJob(RequestJob job);
  /// Schedules a repeat for the share of requests that the plan states.
  void scheduleRepeat(const RequestJob &job);
  /// \returns seconds until the next arrival.
  double drawInterarrival(Stream &it);

  const LoadOptions Opt;
  ConnectionPool Pool;
  std::vector<Stream> Streams;
  Clock::time_point Begin;
  std::int64_t BeginEpochMs = 0;

  std::mutex Lock;
  std::condition_variable QueueChanged;
  std::deque<RequestJob> Queue;
  /// Repeats that are not due yet.
  std::vector<RequestJob> PendingRepeats;
  /// Requests that are queued or being performed.
  int InFlight = 0;
  bool Stopping = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_GENERATOR_H
