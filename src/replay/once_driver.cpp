// At-most-once requests that callers repeat, while home VMs crash or their
// zones are disconnected.

#include "drivers.h"
#include "once_simulation.h"

#include <algorithm>
#include <memory>

namespace savorylb::replay {
namespace {

/// How long a forwarding VM waits for the verdict of the home VM.
constexpr Duration HomeTimeout = Millis(300);
constexpr Duration Deadline = Seconds(2);
/// Times after the first attempt at which callers repeat each request, whatever
/// its outcome: early, and late enough that another VM has become the home.
constexpr Duration RepeatDelays[] = {Millis(700), Millis(1500), Seconds(5),
                                     Seconds(12), Seconds(25)};

struct Attempt {
  RequestId Identity;
  OnceHome Home;
  std::uint64_t Number = 0;
  int StartCount = 0;
};

void deliverAnswer(OnceSimulation &sim, const RequestId &identity,
                   const std::string &outcome, const std::string &body = "") {
  sim.Fleet.Log.record(sim.Fleet.Clock.Now,
                       identity.Value + " " + outcome + body);
  OnceRecord &record = sim.Records[identity];
  if (outcome == "unknown")
    record.AnsweredUnknown = true;
  if (outcome != "done")
    return;
  if (record.Answered && record.LastAnswer != body)
    ++sim.ChangedAnswers;
  sim.AnsweredIdentities += record.Answered ? 0 : 1;
  record.Answered = true;
  record.LastAnswer = body;
}

/// Runs the request on its target, even if the forwarding VM ends meanwhile.
void runRequest(OnceSimulation &sim, SimulatedVm &vm, SimulatedVm &home,
                const Attempt &attempt) {
  OnceRecord &record = sim.Records[attempt.Identity];
  sim.SecondRuns += record.RunCount++ > 0 ? 1 : 0;
  sim.RunsAfterUnknown += record.AnsweredUnknown ? 1 : 0;
  std::string body = "run " + std::to_string(record.RunCount);
  bool lost = sim.Fleet.Rand.chance(sim.LostAnswerChance);
  sim.Fleet.Clock.after(sim.RunTime, [=, &sim, &vm, &home] {
    runInVm(sim.Fleet, vm, attempt.StartCount, [=, &sim, &vm, &home] {
      OnceState state = lost ? OnceState::Unknown : OnceState::Done;
      sendMessage(sim.Fleet, vm, home, [=, &sim, &home] {
        finishAtHome(sim, home, attempt.Home.Partition, attempt.Identity,
                     attempt.Number, state, body);
      });
      if (!lost)
        deliverAnswer(sim, attempt.Identity, "done", body);
    });
  });
}

void receiveVerdict(OnceSimulation &sim, SimulatedVm &vm, SimulatedVm &home,
                    Attempt attempt, const BeginResult &result) {
  attempt.Number = result.Number;
  switch (result.Verdict) {
  case OnceVerdict::Go:
    return runRequest(sim, vm, home, attempt);
  case OnceVerdict::Done:
    return deliverAnswer(sim, attempt.Identity, "done", result.Answer.Body);
  case OnceVerdict::Unknown:
    return deliverAnswer(sim, attempt.Identity, "unknown");
  default:
    return deliverAnswer(sim, attempt.Identity, "refused");
  }
}

/// \returns the owner of the identity's partition according to the owner map of
/// the forwarding VM; empty if unknown.
VmId findHome(const SimulatedVm &vm, const OnceHome &home) {
  auto doc = vm.ZoneDocuments.find(home.Zone);
  auto index = static_cast<std::size_t>(home.Partition);
  if (doc == vm.ZoneDocuments.end() || index >= doc->second.Partitions.size())
    return VmId();
  return doc->second.Partitions[index];
}

/// Sends one attempt through a random VM; nothing is sent if that VM is not
/// running or knows no home.
void sendAttempt(OnceSimulation &sim, const RequestId &identity) {
  FleetSimulation &fleet = sim.Fleet;
  SimulatedVm &vm = fleet.Vms[static_cast<std::size_t>(
      fleet.Rand.below(static_cast<std::int64_t>(fleet.Vms.size())))];
  if (!isRunning(fleet, vm))
    return;
  Attempt attempt{identity, locateHome(identity, sim.Zones, sim.Zones), 0,
                  vm.StartCount};
  VmId name = findHome(vm, attempt.Home);
  if (name.empty())
    return;
  SimulatedVm &home = vmOf(fleet, name);
  Duration sentAt = fleet.Clock.Now;
  sendMessage(fleet, vm, home, [=, &sim, &vm, &home] {
    Duration remaining = Deadline - (sim.Fleet.Clock.Now - sentAt);
    beginAtHome(sim, home, attempt.Home.Partition, identity, remaining,
                [=, &sim, &vm, &home](const BeginResult &result) {
                  if (vm.StartCount != attempt.StartCount)
                    return;
                  sendMessage(sim.Fleet, home, vm, [=, &sim, &vm, &home] {
                    // The request must not run after a late verdict.
                    if (sim.Fleet.Clock.Now - sentAt <= HomeTimeout)
                      receiveVerdict(sim, vm, home, attempt, result);
                  });
                });
  });
}

/// Creates an identity with a prefix as returned by lookups: the zone, or the
/// zone and the revision of its owner map.
RequestId makeIdentity(OnceSimulation &sim) {
  FleetSimulation &fleet = sim.Fleet;
  const SimulatedVm &vm = fleet.Vms[static_cast<std::size_t>(
      fleet.Rand.below(static_cast<std::int64_t>(fleet.Vms.size())))];
  std::string text = vm.Zone.Value;
  if (fleet.Rand.chance(0.5))
    text += "@" + std::to_string(vm.Doc.Rev.Value);
  return RequestId(text + ":" + std::to_string(++sim.Created));
}

void createIdentity(OnceSimulation &sim) {
  RequestId identity = makeIdentity(sim);
  Duration start = sim.Fleet.Clock.Now;
  sim.Records[identity] = OnceRecord();
  sendAttempt(sim, identity);
  for (Duration it : RepeatDelays)
    sim.Fleet.Clock.at(start + it,
                       [&sim, identity] { sendAttempt(sim, identity); });
}

} // namespace

Measurements replayOnce(const Trace &trace, DecisionLog &log) {
  OnceSimulation sim(trace, log);
  sim.Retention = millisOf(trace.Parameters, "retention_ms", 900'000);
  sim.RunTime = millisOf(trace.Parameters, "run_ms", 30);
  sim.LostAnswerChance = trace.Parameters.get("lost_answers", 0.0).asDouble();
  for (const auto &[zone, targets] : sim.Fleet.Targets)
    sim.Zones.push_back(zone);
  attachLedgers(sim);
  startFleet(sim.Fleet, trace);
  Duration gap =
      Duration(Seconds(1)) / trace.Parameters.get("per_second", 100).asInt64();
  sim.Fleet.Clock.every(millisOf(trace.Parameters, "measure_from_ms", 10'000),
                        gap, [&sim] { createIdentity(sim); });
  sim.Fleet.Clock.runUntil(trace.Length);
  Measurements measured;
  measured["identities"] = static_cast<double>(sim.Created);
  measured["second_runs"] = static_cast<double>(sim.SecondRuns);
  measured["changed_answers"] = static_cast<double>(sim.ChangedAnswers);
  measured["runs_after_unknown"] = static_cast<double>(sim.RunsAfterUnknown);
  measured["done_pct"] = 100.0 * static_cast<double>(sim.AnsweredIdentities) /
                         static_cast<double>(sim.Created);
  return measured;
}

} // namespace savorylb::replay
