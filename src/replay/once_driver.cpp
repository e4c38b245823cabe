// At-most-once requests with repeats, against homes that die or are cut off.

#include "drivers.h"
#include "once_world.h"

#include <algorithm>
#include <memory>

namespace savorylb::replay {
namespace {

constexpr Duration HomePatience = Millis(300);
constexpr Duration Deadline = Seconds(2);
/// When callers try again, counted from the first attempt: at once after a
/// failure, and late enough to meet another home.
constexpr Duration RepeatAt[] = {Millis(700), Millis(1500), Seconds(5),
                                 Seconds(12), Seconds(25)};

struct Attempt {
  RequestId Identity;
  OnceHome Home;
  std::uint64_t Number = 0;
  int Lives = 0;
};

void tell(OnceWorld &world, const RequestId &identity, const std::string &what,
          const std::string &body = "") {
  world.Vms.Log.note(world.Vms.Time.Now, identity.Value + " " + what + body);
  OnceRecord &record = world.Records[identity];
  if (what == "unknown")
    record.ToldUnknown = true;
  if (what != "done")
    return;
  if (record.Told && record.FirstAnswer != body)
    ++world.ChangedAnswers;
  world.Done += record.Told ? 0 : 1;
  record.Told = true;
  record.FirstAnswer = body;
}

/// The request runs on its target, whatever becomes of the forwarding VM.
void runRequest(OnceWorld &world, ReplayVm &vm, ReplayVm &home,
                const Attempt &attempt) {
  OnceRecord &record = world.Records[attempt.Identity];
  world.SecondRuns += record.Runs++ > 0 ? 1 : 0;
  world.RunsAfterUnknown += record.ToldUnknown ? 1 : 0;
  std::string body = "run " + std::to_string(record.Runs);
  bool lost = world.Vms.Rand.chance(world.LostAnswers);
  world.Vms.Time.after(world.RunTime, [=, &world, &vm, &home] {
    runInVm(world.Vms, vm, attempt.Lives, [=, &world, &vm, &home] {
      OnceState state = lost ? OnceState::Unknown : OnceState::Done;
      sendMessage(world.Vms, vm, home, [=, &world, &home] {
        finishAtHome(world, home, attempt.Home.Partition, attempt.Identity,
                     attempt.Number, state, body);
      });
      if (!lost)
        tell(world, attempt.Identity, "done", body);
    });
  });
}

void receiveVerdict(OnceWorld &world, ReplayVm &vm, ReplayVm &home,
                    Attempt attempt, const BeginResult &result) {
  attempt.Number = result.Number;
  switch (result.Verdict) {
  case OnceVerdict::Go:
    return runRequest(world, vm, home, attempt);
  case OnceVerdict::Done:
    return tell(world, attempt.Identity, "done", result.Answer.Body);
  case OnceVerdict::Unknown:
    return tell(world, attempt.Identity, "unknown");
  default:
    return tell(world, attempt.Identity, "refused");
  }
}

/// The owner of the identity's partition as far as the forwarding VM knows.
VmId findHome(const ReplayVm &vm, const OnceHome &home) {
  auto map = vm.Maps.find(home.Zone);
  auto index = static_cast<std::size_t>(home.Partition);
  if (map == vm.Maps.end() || index >= map->second.Partitions.size())
    return VmId();
  return map->second.Partitions[index];
}

void tryOnce(OnceWorld &world, const RequestId &identity) {
  Fleet &fleet = world.Vms;
  ReplayVm &vm = fleet.Vms[static_cast<std::size_t>(
      fleet.Rand.below(static_cast<std::int64_t>(fleet.Vms.size())))];
  if (!isRunning(fleet, vm))
    return;
  Attempt attempt{identity, locateHome(identity, world.Zones, world.Zones), 0,
                  vm.Lives};
  VmId name = findHome(vm, attempt.Home);
  if (name.empty())
    return;
  ReplayVm &home = vmOf(fleet, name);
  Duration sentAt = fleet.Time.Now;
  sendMessage(fleet, vm, home, [=, &world, &vm, &home] {
    Duration remaining = Deadline - (world.Vms.Time.Now - sentAt);
    beginAtHome(world, home, attempt.Home.Partition, identity, remaining,
                [=, &world, &vm, &home](const BeginResult &result) {
                  if (vm.Lives != attempt.Lives)
                    return;
                  sendMessage(world.Vms, home, vm, [=, &world, &vm, &home] {
                    // A late verdict must not start anything.
                    if (world.Vms.Time.Now - sentAt <= HomePatience)
                      receiveVerdict(world, vm, home, attempt, result);
                  });
                });
  });
}

/// An identity is stamped as a lookup would hand it out: with a zone, or with
/// the zone and the revision of its owner map.
RequestId makeIdentity(OnceWorld &world) {
  Fleet &fleet = world.Vms;
  const ReplayVm &vm = fleet.Vms[static_cast<std::size_t>(
      fleet.Rand.below(static_cast<std::int64_t>(fleet.Vms.size())))];
  std::string text = vm.Zone.Value;
  if (fleet.Rand.chance(0.5))
    text += "@" + std::to_string(vm.Doc.Rev.Value);
  return RequestId(text + ":" + std::to_string(++world.Created));
}

void createIdentity(OnceWorld &world) {
  RequestId identity = makeIdentity(world);
  Duration start = world.Vms.Time.Now;
  world.Records[identity] = OnceRecord();
  tryOnce(world, identity);
  for (Duration it : RepeatAt)
    world.Vms.Time.at(start + it,
                      [&world, identity] { tryOnce(world, identity); });
}

} // namespace

Figures replayOnce(const Trace &trace, DecisionLog &log) {
  OnceWorld world(trace, log);
  world.Retention = millisOf(trace.Parameters, "retention_ms", 900'000);
  world.RunTime = millisOf(trace.Parameters, "run_ms", 30);
  world.LostAnswers = trace.Parameters.get("lost_answers", 0.0).asDouble();
  for (const auto &[zone, targets] : world.Vms.Targets)
    world.Zones.push_back(zone);
  attachLedgers(world);
  startFleet(world.Vms, trace);
  Duration gap =
      Duration(Seconds(1)) / trace.Parameters.get("per_second", 100).asInt64();
  world.Vms.Time.every(millisOf(trace.Parameters, "measure_from_ms", 10'000),
                       gap, [&world] { createIdentity(world); });
  world.Vms.Time.runUntil(trace.Length);
  Figures figures;
  figures["identities"] = static_cast<double>(world.Created);
  figures["second_runs"] = static_cast<double>(world.SecondRuns);
  figures["changed_answers"] = static_cast<double>(world.ChangedAnswers);
  figures["runs_after_unknown"] = static_cast<double>(world.RunsAfterUnknown);
  figures["done_pct"] = 100.0 * static_cast<double>(world.Done) /
                        static_cast<double>(world.Created);
  return figures;
}

} // namespace savorylb::replay
