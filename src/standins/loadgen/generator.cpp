#include "generator.h"

#include "caller.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <thread>

using namespace std::chrono;

namespace savorylb::standin {

namespace {

// Interval at which due repeats are looked for while no arrival is due.
constexpr milliseconds RepeatPollInterval(5);
// Maximum delays of repeats after their first request. Half of the repeats use
// the short one, to race with the first request; the others use the long one,
// to arrive after it.
constexpr std::uint64_t MaxRacingDelayMs = 20;
constexpr std::uint64_t MaxLaterDelayMs = 1000;

} // namespace

Generator::Generator(const LoadOptions &opt, std::vector<StreamPlan> plans)
    : Opt(opt), Streams(plans.size()), Begin(Clock::now()) {
  for (std::size_t i = 0; i < plans.size(); ++i) {
    auto &it = Streams[i];
    it.Plan = std::move(plans[i]);
    it.Lookups =
        std::make_unique<LookupCache>(it.Plan, Opt.Daemons, Opt.NoLookup, Pool);
    it.Random.seed(stableHash(std::to_string(i), Opt.Seed));
  }
}

double Generator::drawInterarrival(Stream &it) {
  return std::exponential_distribution<double>(it.Plan.Rate)(it.Random);
}

void Generator::run() {
  Begin = Clock::now();
  BeginEpochMs =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count();
  for (auto &it : Streams) {
    it.Report = std::make_unique<StreamReport>(Begin);
    it.NextArrival = Begin + duration_cast<Clock::duration>(
                                 duration<double>(drawInterarrival(it)));
  }
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(Opt.Threads));
  for (int i = 0; i < Opt.Threads; ++i)
    workers.emplace_back([this] { runWorker(); });
  dispatchUntil(Begin +
                duration_cast<Clock::duration>(duration<double>(Opt.Seconds)));
  {
    std::lock_guard<std::mutex> guard(Lock);
    Stopping = true;
    QueueChanged.notify_all();
  }
  for (auto &it : workers)
    it.join();
}

void Generator::dispatchUntil(Clock::time_point end) {
  while (true) {
    auto first = std::min_element(Streams.begin(), Streams.end(),
                                  [](const Stream &a, const Stream &b) {
                                    return a.NextArrival < b.NextArrival;
                                  });
    auto next = std::min(first->NextArrival, end);
    auto now = Clock::now();
    std::this_thread::sleep_until(std::min(next, now + RepeatPollInterval));
    now = Clock::now();
    std::vector<RequestJob> due;
    {
      std::lock_guard<std::mutex> guard(Lock);
      auto later =
          std::partition(PendingRepeats.begin(), PendingRepeats.end(),
                         [now](const RequestJob &it) { return it.Due > now; });
      due.assign(later, PendingRepeats.end());
      PendingRepeats.erase(later, PendingRepeats.end());
    }
    for (auto &it : due)
      enqueue(it);
    if (now >= end)
      return;
    if (first->NextArrival <= now)
      enqueueArrival(static_cast<std::size_t>(first - Streams.begin()));
  }
}

void Generator::enqueueArrival(std::size_t stream) {
  auto &it = Streams[stream];
  RequestJob job;
  job.Stream = stream;
  job.Due = it.NextArrival;
  job.Nonce = "lg-" + Opt.RunId + "-" + std::to_string(stream) + "-" +
              std::to_string(++it.Arrivals);
  it.NextArrival +=
      duration_cast<Clock::duration>(duration<double>(drawInterarrival(it)));
  enqueue(std::move(job));
}

void Generator::enqueue(RequestJob job) {
  std::lock_guard<std::mutex> guard(Lock);
  if (InFlight >= Opt.MaxInFlight) {
    Streams[job.Stream].Report->countSkipped();
    return;
  }
  ++InFlight;
  Queue.push_back(std::move(job));
  QueueChanged.notify_one();
}

void Generator::runWorker() {
  std::unique_lock<std::mutex> guard(Lock);
  while (true) {
    QueueChanged.wait(guard, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    auto job = std::move(Queue.front());
    Queue.pop_front();
    guard.unlock();
    runJob(std::move(job));
    guard.lock();
    --InFlight;
  }
}

void Generator::runJob(RequestJob job) {
  auto &it = Streams[job.Stream];
  auto sentAt = Clock::now();
  auto rec = standin::performRequest(it.Plan, job, *it.Lookups, Pool,
                                     [&] { scheduleRepeat(job); });
  it.Report->record(rec, sentAt);
}

void Generator::scheduleRepeat(const RequestJob &job) {
  auto draw = stableHash(job.Nonce, Opt.Seed);
  if (static_cast<std::int64_t>(draw % 1'000'000) >=
      Streams[job.Stream].Plan.RepeatPpm)
    return;
  auto repeat = job;
  repeat.Repeat = true;
  auto spread = stableHash(job.Nonce, draw);
  auto limit = spread % 2 == 0 ? MaxRacingDelayMs : MaxLaterDelayMs;
  repeat.Due = Clock::now() + milliseconds(spread / 2 % limit);
  std::lock_guard<std::mutex> guard(Lock);
  PendingRepeats.push_back(std::move(repeat));
}

Json::Value Generator::report(bool full) const {
  Json::Value out;
  out["seconds"] = Opt.Seconds;
  out["seed"] = static_cast<Json::UInt64>(Opt.Seed);
  out["run_id"] = Opt.RunId;
  out["begin_epoch_ms"] = static_cast<Json::Int64>(BeginEpochMs);
  std::uint64_t lookupsSent = 0;
  std::uint64_t lookupsFailed = 0;
  std::vector<std::uint32_t> micros;
  const char *const summed[] = {"sent",    "done",    "not_run",   "unknown",
                                "lost",    "wrong",   "truncated", "failed",
                                "skipped", "repeats", "ran_twice"};
  for (auto *name : summed)
    out["totals"][name] = 0;
  for (auto &it : Streams) {
    lookupsSent += it.Lookups->sent();
    lookupsFailed += it.Lookups->failed();
    auto part = it.Lookups->latencies();
    micros.insert(micros.end(), part.begin(), part.end());
    auto row = it.Report->summary(it.Plan);
    for (auto *name : summed)
      out["totals"][name] =
          out["totals"][name].asUInt64() + row[name].asUInt64();
    if (full) {
      row["timeline"] = it.Report->timeline();
      row["identities"] = it.Report->identities();
    }
    out["streams"].append(row);
  }
  out["lookups"]["sent"] = static_cast<Json::UInt64>(lookupsSent);
  out["lookups"]["failed"] = static_cast<Json::UInt64>(lookupsFailed);
  out["lookups"]["latency_us"] = latencyJson(micros);
  return out;
}

} // namespace savorylb::standin
