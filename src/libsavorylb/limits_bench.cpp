#include "savorylb/fair_queue.h"
#include "savorylb/slot_table.h"
#include "savorylb/token_bucket.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <string>
#include <vector>

using namespace savorylb;

namespace {

constexpr Duration Deadline = Seconds(2);

void setP99(benchmark::State &state, const char *name,
            std::vector<double> &samples) {
  if (samples.empty())
    return;
  auto at =
      samples.begin() + static_cast<std::ptrdiff_t>(samples.size() * 99 / 100);
  std::nth_element(samples.begin(), at, samples.end());
  state.counters[name] = *at;
}

/// Measures single calls; each result includes the cost of reading the clock.
class Stopwatch {
public:
  double nanos() const {
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - Begin)
        .count();
  }

private:
  std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
};

SlotTable makeTable(std::int64_t targets, MonoTime now) {
  SlotTable table;
  for (std::int64_t i = 0; i < targets; ++i) {
    TargetSpec spec;
    spec.Name = TargetId("tiles-" + std::to_string(i));
    spec.Address = "127.0.1." + std::to_string(i) + ":8080";
    spec.Version = VersionId("v1");
    spec.Slots = 4;
    adoptTarget(table, spec, false, now);
  }
  return table;
}

void benchTakeToken(benchmark::State &state) {
  TokenBucket bucket;
  MonoTime now{};
  setShare(bucket, 1'000'000, 100'000, WholePpm, now);
  for (auto _ : state)
    benchmark::DoNotOptimize(takeToken(bucket, now += Duration(1)));
}
BENCHMARK(benchTakeToken);

void benchGrantSlot(benchmark::State &state) {
  MonoTime now{Seconds(10)};
  SlotTable table = makeTable(state.range(0), now);
  std::deque<SlotGrant> held;
  // Keeps three of four slots busy.
  for (std::int64_t i = 0; i < state.range(0) * 3; ++i)
    if (auto grant =
            grantSlot(table, VersionId("v1"), TargetId(), now + Deadline, now))
      held.push_back(*grant);
  for (auto _ : state) {
    now += Duration(5);
    releaseSlot(table, held.front().Target, held.front().Number,
                SlotResult::Done, now);
    held.pop_front();
    if (auto grant =
            grantSlot(table, VersionId("v1"), TargetId(), now + Deadline, now))
      held.push_back(*grant);
  }
}
BENCHMARK(benchGrantSlot)->Arg(8)->Arg(64)->Arg(256);

void benchQueue(benchmark::State &state) {
  MonoTime now{Seconds(10)};
  FairQueue queue;
  std::vector<TeamId> teams;
  for (std::int64_t i = 0; i < state.range(0); ++i)
    teams.emplace_back("team-" + std::to_string(i));
  std::size_t next = 0;
  auto add = [&] {
    QueuedRequest request;
    request.Team = teams[next++ % teams.size()];
    request.Version = VersionId("v1");
    request.ExpiresAt = now + Deadline;
    enqueueRequest(queue, std::move(request), 256, now);
  };
  for (int i = 0; i < queue.MaxLength - 1; ++i)
    add();
  for (auto _ : state) {
    now += Duration(5);
    add();
    benchmark::DoNotOptimize(dequeueRequest(queue, VersionId("v1"), now));
  }
}
BENCHMARK(benchQueue)->Arg(8)->Arg(32)->Arg(128);

/// Measures decisions under overload. Requests arrive at 1.5 times the rate of
/// releases, so that all slots are busy and the queue is full: each arrival
/// takes a token, looks for a slot and waits or is refused; each release grants
/// the slot to the next request in fair order.
void benchDecision(benchmark::State &state) {
  MonoTime now{Seconds(10)};
  SlotTable table = makeTable(64, now);
  FairQueue queue;
  std::vector<TeamId> teams;
  std::vector<TokenBucket> buckets(8);
  for (TokenBucket &bucket : buckets) {
    setShare(bucket, 1'000'000, 10'000'000, WholePpm, MonoTime{});
    teams.emplace_back("team-" + std::to_string(teams.size()));
  }
  std::deque<SlotGrant> held;
  std::vector<double> arrivals;
  std::vector<double> releases;
  std::size_t n = 0;
  auto grant = [&](const VersionId &version) {
    auto it = grantSlot(table, version, TargetId(), now + Deadline, now);
    if (it)
      held.push_back(*it);
    return it.has_value();
  };
  auto arrive = [&](std::size_t team) {
    if (!takeToken(buckets[team], now) ||
        (queue.Waiting.empty() && grant(VersionId("v1"))))
      return;
    QueuedRequest request;
    request.Team = teams[team];
    request.Version = VersionId("v1");
    request.ExpiresAt = now + Deadline;
    enqueueRequest(queue, std::move(request),
                   usableSlots(table, VersionId("v1"), now), now);
  };
  for (auto _ : state) {
    now += Duration(20);
    // One team sends every second request.
    std::size_t team = n % 2 == 0 ? 0 : n / 2 % teams.size();
    Stopwatch arrival;
    arrive(team);
    arrivals.push_back(arrival.nanos());
    if (n++ % 3 == 0 || held.size() < 250)
      continue;
    Stopwatch release;
    releaseSlot(table, held.front().Target, held.front().Number,
                SlotResult::Done, now);
    held.pop_front();
    observeServiceTime(queue, Millis(20));
    if (auto next = dequeueRequest(queue, VersionId("v1"), now))
      grant(next->Version);
    releases.push_back(release.nanos());
  }
  setP99(state, "arrival_p99_ns", arrivals);
  setP99(state, "release_p99_ns", releases);
}
BENCHMARK(benchDecision);

} // namespace
