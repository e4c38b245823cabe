#include "generator.h"

#include "caller.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <thread>

using namespace std::chrono;

namespace savorylb::standin {

namespace {

// How far ahead repeats are looked for while no arrival is due.
constexpr milliseconds RepeatCheck(5);
// Half of the repeats race with their first request, half come after it.
constexpr std::uint64_t RacingRepeatMs = 20;
constexpr std::uint64_t LaterRepeatMs = 1000;

} // namespace

Generator::Generator(const LoadOptions &opt, std::vector<StreamPlan> plans)
    : Opt(opt), Streams(plans.size()), Begin(Clock::now()) {
  for (std::size_t i = 0; i < plans.size(); ++i) {
    auto &it = Streams[i];
    it.Plan = std::move(plans[i]);
    it.Lookups =
        std::make_unique<LookupCache>(it.Plan, Opt.Daemons, Opt.Direct, Pool);
    it.Random.seed(stableHash(std::to_string(i), Opt.Seed));
  }
}

double Generator::untilNext(Stream &it) {
  return std::exponential_distribution<double>(it.Plan.Rate)(it.Random);
}

void Generator::run() {
  Begin = Clock::now();
  BeginEpochMs =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count();
  for (auto &it : Streams) {
    it.Report = std::make_unique<StreamReport>(Begin);
    it.NextArrival =
        Begin + duration_cast<Clock::duration>(duration<double>(untilNext(it)));
  }
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(Opt.Threads));
  for (int i = 0; i < Opt.Threads; ++i)
    workers.emplace_back([this] { work(); });
  dispatchUntil(Begin +
                duration_cast<Clock::duration>(duration<double>(Opt.Seconds)));
  {
    std::lock_guard<std::mutex> guard(Lock);
    Closed = true;
    Queued.notify_all();
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
    std::this_thread::sleep_until(std::min(next, now + RepeatCheck));
    now = Clock::now();
    std::vector<RequestJob> due;
    {
      std::lock_guard<std::mutex> guard(Lock);
      auto later =
          std::partition(Repeats.begin(), Repeats.end(),
                         [now](const RequestJob &it) { return it.Due > now; });
      due.assign(later, Repeats.end());
      Repeats.erase(later, Repeats.end());
    }
    for (auto &it : due)
      start(it);
    if (now >= end)
      return;
    if (first->NextArrival <= now)
      arrive(static_cast<std::size_t>(first - Streams.begin()));
  }
}

void Generator::arrive(std::size_t stream) {
  auto &it = Streams[stream];
  RequestJob job;
  job.Stream = stream;
  job.Due = it.NextArrival;
  job.Nonce = "lg-" + Opt.RunId + "-" + std::to_string(stream) + "-" +
              std::to_string(++it.Arrivals);
  it.NextArrival +=
      duration_cast<Clock::duration>(duration<double>(untilNext(it)));
  start(std::move(job));
}

void Generator::start(RequestJob job) {
  std::lock_guard<std::mutex> guard(Lock);
  if (InFlight >= Opt.MaxInFlight) {
    Streams[job.Stream].Report->skip();
    return;
  }
  ++InFlight;
  Queue.push_back(std::move(job));
  Queued.notify_one();
}

void Generator::work() {
  std::unique_lock<std::mutex> guard(Lock);
  while (true) {
    Queued.wait(guard, [this] { return Closed || !Queue.empty(); });
    if (Queue.empty())
      return;
    auto job = std::move(Queue.front());
    Queue.pop_front();
    guard.unlock();
    perform(std::move(job));
    guard.lock();
    --InFlight;
  }
}

void Generator::perform(RequestJob job) {
  auto &it = Streams[job.Stream];
  auto sentAt = Clock::now();
  auto rec = standin::perform(it.Plan, job, *it.Lookups, Pool,
                              [&] { planRepeat(job); });
  it.Report->note(rec, sentAt);
}

void Generator::planRepeat(const RequestJob &job) {
  auto draw = stableHash(job.Nonce, Opt.Seed);
  if (static_cast<std::int64_t>(draw % 1'000'000) >=
      Streams[job.Stream].Plan.RepeatPpm)
    return;
  auto repeat = job;
  repeat.Repeat = true;
  auto spread = stableHash(job.Nonce, draw);
  auto limit = spread % 2 == 0 ? RacingRepeatMs : LaterRepeatMs;
  repeat.Due = Clock::now() + milliseconds(spread / 2 % limit);
  std::lock_guard<std::mutex> guard(Lock);
  Repeats.push_back(std::move(repeat));
}

Json::Value Generator::report(bool full) const {
  Json::Value out;
  out["seconds"] = Opt.Seconds;
  out["seed"] = static_cast<Json::UInt64>(Opt.Seed);
  out["run_id"] = Opt.RunId;
  out["begin_epoch_ms"] = static_cast<Json::Int64>(BeginEpochMs);
  std::uint64_t asked = 0;
  std::uint64_t failed = 0;
  std::vector<std::uint32_t> micros;
  const char *const summed[] = {"sent",    "done",    "not_run",   "unknown",
                                "lost",    "wrong",   "truncated", "failed",
                                "skipped", "repeats", "ran_twice"};
  for (auto *name : summed)
    out["totals"][name] = 0;
  for (auto &it : Streams) {
    asked += it.Lookups->sent();
    failed += it.Lookups->failed();
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
  out["lookups"]["sent"] = static_cast<Json::UInt64>(asked);
  out["lookups"]["failed"] = static_cast<Json::UInt64>(failed);
  out["lookups"]["latency_us"] = latencyJson(micros);
  return out;
}

} // namespace savorylb::standin
