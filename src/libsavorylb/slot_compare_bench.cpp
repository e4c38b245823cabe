#include "savorylb/slot_table.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

// Compares schemes that keep targets within their slots, all on the same seeded
// demand: 1.5 times the capacity of 16 targets with 4 slots each. Half of it
// arrives at one of 10 VMs, which changes every 5 s.

using namespace savorylb;

namespace {

constexpr std::size_t Vms = 10;
constexpr std::size_t Targets = 16;
constexpr int SlotsEach = 4;
constexpr std::size_t Slots = Targets * SlotsEach;
constexpr Duration MeanTime = Millis(20);
constexpr MonoTime Length{Seconds(30)};
/// One-way delay between a forwarding VM and an owner in the same zone.
constexpr Duration OneWay = Duration(250);
constexpr Duration MaxWait = Millis(180);
constexpr std::size_t QueueLength = 64;
constexpr Duration ReportEvery = Millis(100);

struct Event {
  MonoTime At;
  std::function<void()> Run;
  bool operator>(const Event &other) const { return At > other.At; }
};

/// Simulates the real load of the targets, the demand and the queues. A scheme
/// sets OnReady, which decides which request may start.
struct Simulation {
  std::mt19937_64 Random;
  MonoTime Now{};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<int> Busy = std::vector<int>(Targets);
  double BusyTime = 0;
  long Started = 0;
  long StartedOverLimit = 0;
  std::vector<std::deque<MonoTime>> Waiting{Vms};
  /// Called when a request arrived or a slot may have become free.
  std::function<void(std::size_t vm)> OnReady;

  explicit Simulation(std::uint64_t seed) : Random(seed) {}

  void after(Duration wait, std::function<void()> run) {
    Events.push({Now + wait, std::move(run)});
  }

  /// Runs a request on a target, even if that exceeds the target's slots.
  void start(std::size_t target, std::function<void()> done) {
    ++Started;
    StartedOverLimit += ++Busy[target] > SlotsEach ? 1 : 0;
    Duration takes(std::uniform_int_distribution<std::int64_t>(
        MeanTime.count() / 2, MeanTime.count() * 3 / 2)(Random));
    after(takes, [this, target, done = std::move(done)] {
      --Busy[target];
      done();
    });
  }

  bool takeWaiting(std::size_t vm) {
    auto &queue = Waiting[vm];
    while (!queue.empty() && Now - queue.front() > MaxWait)
      queue.pop_front();
    if (queue.empty())
      return false;
    queue.pop_front();
    return true;
  }

  void arrive() {
    double rate = 1.5 * Slots / static_cast<double>(MeanTime.count());
    after(Duration(static_cast<std::int64_t>(
              std::exponential_distribution<>(rate)(Random))),
          [this] { arrive(); });
    std::size_t hot =
        static_cast<std::size_t>(Now.time_since_epoch() / Seconds(5)) % Vms;
    std::size_t vm = Random() % 2 == 0 ? hot : Random() % Vms;
    if (Waiting[vm].size() < QueueLength)
      Waiting[vm].push_back(Now);
    OnReady(vm);
  }

  void run() {
    arrive();
    while (Events.top().At < Length) {
      Event event = Events.top();
      Events.pop();
      int used = 0;
      for (int busy : Busy)
        used += std::min(busy, SlotsEach);
      BusyTime += static_cast<double>(used * (event.At - Now).count());
      Now = event.At;
      event.Run();
    }
  }
};

/// One VM owns all targets. Granting and releasing a slot take one message
/// each, during which the slot is unused. The requests of all VMs wait in the
/// owner's queue.
void runOwned(Simulation &sim) {
  auto table = std::make_shared<SlotTable>();
  for (std::size_t i = 0; i < Targets; ++i) {
    TargetSpec spec;
    spec.Name = TargetId(std::to_string(i));
    spec.Slots = SlotsEach;
    adoptTarget(*table, spec, false, sim.Now);
  }
  sim.OnReady = [&sim, table](std::size_t vm) {
    for (std::size_t i = 0; i < Vms; ++i, vm = (vm + 1) % Vms) {
      if (sim.Waiting[vm].empty())
        continue;
      auto grant = grantSlot(*table, VersionId(), TargetId(),
                             sim.Now + Seconds(2), sim.Now);
      if (!grant)
        return;
      auto release = [&sim, table, it = *grant](SlotResult result) {
        releaseSlot(*table, it.Target, it.Number, result, sim.Now);
      };
      if (!sim.takeWaiting(vm)) {
        release(SlotResult::Unused);
        continue;
      }
      sim.after(OneWay, [&sim, vm, release, it = *grant] {
        sim.start(std::stoul(it.Target.Value), [&sim, vm, release] {
          sim.after(OneWay, [&sim, vm, release] {
            release(SlotResult::Done);
            sim.OnReady((vm + 1) % Vms);
          });
        });
      });
    }
  };
  sim.run();
}

/// Each VM has a fixed part of the slots.
void runDivided(Simulation &sim) {
  auto ownSlots = std::make_shared<std::vector<std::vector<std::size_t>>>(Vms);
  for (std::size_t slot = 0; slot < Slots; ++slot)
    (*ownSlots)[slot % Vms].push_back(slot % Targets);
  sim.OnReady = [&sim, ownSlots](std::size_t vm) {
    auto &free = (*ownSlots)[vm];
    while (!free.empty() && sim.takeWaiting(vm)) {
      std::size_t target = free.back();
      free.pop_back();
      sim.start(target, [&sim, ownSlots, vm, target] {
        (*ownSlots)[vm].push_back(target);
        sim.OnReady(vm);
      });
    }
  };
  sim.run();
}

/// Each VM estimates a target's load as the last report plus its own requests
/// since then, and leaves `margin` slots of each target unused.
void runEstimate(Simulation &sim, int margin) {
  auto seen = std::make_shared<std::vector<std::vector<int>>>(
      Vms, std::vector<int>(Targets));
  auto report = std::make_shared<std::function<void()>>();
  *report = [&sim, seen, again = std::weak_ptr(report)] {
    for (std::size_t vm = 0; vm < Vms; ++vm) {
      (*seen)[vm] = sim.Busy;
      sim.OnReady(vm);
    }
    sim.after(ReportEvery, [again] { (*again.lock())(); });
  };
  sim.OnReady = [&sim, seen, margin](std::size_t vm) {
    auto &load = (*seen)[vm];
    for (;;) {
      std::size_t target = sim.Random() % Targets;
      for (std::size_t i = 0; i < Targets; ++i)
        if (load[i] < load[target])
          target = i;
      if (load[target] >= SlotsEach - margin || !sim.takeWaiting(vm))
        return;
      ++load[target];
      sim.start(target, [&sim, seen, vm, target] {
        int &known = (*seen)[vm][target];
        known = std::max(0, known - 1);
        sim.OnReady(vm);
      });
    }
  };
  sim.after(Duration(0), *report);
  sim.run();
}

template <typename Scheme>
void compare(benchmark::State &state, Scheme scheme) {
  double used = 0;
  double over = 0;
  for (auto _ : state) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Simulation sim(seed);
      scheme(sim);
      used += sim.BusyTime / Slots /
              static_cast<double>(Length.time_since_epoch().count()) / 5;
      over += static_cast<double>(sim.StartedOverLimit) /
              static_cast<double>(sim.Started) / 5;
    }
  }
  state.counters["slots_used_pct"] = 100 * used;
  state.counters["started_over_limit_pct"] = 100 * over;
}

BENCHMARK_CAPTURE(compare, slots_owned, runOwned)->Iterations(1);
BENCHMARK_CAPTURE(compare, slots_divided, runDivided)->Iterations(1);
BENCHMARK_CAPTURE(compare, slots_estimate, [](Simulation &sim) {
  runEstimate(sim, 0);
})->Iterations(1);
BENCHMARK_CAPTURE(compare, slots_estimate_margin_1, [](Simulation &sim) {
  runEstimate(sim, 1);
})->Iterations(1);
BENCHMARK_CAPTURE(compare, slots_estimate_margin_2, [](Simulation &sim) {
  runEstimate(sim, 2);
})->Iterations(1);

} // namespace
