// Rollouts of good and bad versions on several VMs that exchange evidence in
// heartbeats.

#include "drivers.h"
#include "random.h"
#include "virtual_clock.h"

#include "savorylb/rollout.h"

#include <algorithm>
#include <cmath>

namespace savorylb::replay {
namespace {

constexpr Duration HeartbeatInterval = Seconds(1);
constexpr Duration PlanInterval = Millis(500);
constexpr Duration StoreDelay = Millis(3);
constexpr Duration HeartbeatDelay = Millis(35);
constexpr int Routes = 5;
/// No request may go to a bad version later than this after the evidence
/// against it was sufficient.
constexpr Duration StopLimit = Seconds(2);
/// Probability that a request fails.
constexpr double BadFailureChance = 0.3;
constexpr double GoodFailureChance = 0.005;

struct RolloutSimulation {
  VirtualClock Clock;
  Random Rand;
  DecisionLog &Log;
  /// Behavior of the new version: `good`, `failing` or `late-failing` (requests
  /// fail from BadFrom), `one-route` (those of one route fail), `under-load`
  /// (they fail from a share of 20 %) or `slow`; with `region-slow`, both
  /// versions are slow in one region.
  std::string Quality;
  /// When the new version becomes bad, or the region slow. Not used for
  /// `one-route` and `under-load`.
  Duration BadFrom{};
  std::vector<Rollout> Rollouts;
  /// Observes the results of all VMs without delay; it stops when the evidence
  /// of the whole fleet is sufficient for the test.
  Rollout Reference;
  RolloutRecord Stored;
  /// Whether Reference stopped.
  bool Detected = false;
  /// When Reference stopped.
  Duration DetectedAt{};
  /// All requests.
  long Requests = 0;
  /// Requests to the new version.
  long NewRequests = 0;
  /// Requests to the new version later than StopLimit after DetectedAt.
  long LateNewRequests = 0;
  /// Steps above the cap although the new version was not proven.
  long OverCap = 0;
  /// When the rollout was done; -1 if it is not.
  double DoneAtMs = -1;

  RolloutSimulation(std::uint64_t seed, DecisionLog &log)
      : Rand(seed), Log(log) {}
};

WallTime wallTime(const RolloutSimulation &sim) {
  return WallTime(std::chrono::duration_cast<Millis>(sim.Clock.Now));
}

/// \returns whether the time, route or share at which the new version's fault
/// applies is reached. The caller decides whether Quality has such a fault.
bool isFaultActive(const RolloutSimulation &sim, int route) {
  if (sim.Quality == "one-route")
    return route == 2;
  if (sim.Quality == "under-load")
    return sim.Stored.Share >= Ppm(200'000);
  return sim.Clock.Now >= sim.BadFrom;
}

/// \returns a log-normally distributed latency with a median of 10 ms.
Duration latency(RolloutSimulation &sim, std::size_t vm, bool isNew,
                 int route) {
  double u = 1 - sim.Rand.uniform();
  double normal = std::sqrt(-2 * std::log(u)) *
                  std::cos(6.283185307179586 * sim.Rand.uniform());
  double factor = std::exp(0.5 * normal);
  if (isNew && sim.Quality == "slow" && isFaultActive(sim, route))
    factor *= 3;
  // One of three regions becomes slow for both versions.
  if (sim.Quality == "region-slow" && vm % 3 == 0 &&
      sim.Clock.Now >= sim.BadFrom)
    factor *= 3;
  return Duration(static_cast<std::int64_t>(10'000 * factor));
}

void serveRequest(RolloutSimulation &sim, std::size_t vm) {
  Rollout &own = sim.Rollouts[vm];
  int route = static_cast<int>(sim.Rand.below(Routes));
  RouteId name("route-" + std::to_string(route));
  VersionId version = chooseVersion(own, name);
  bool isNew = version == own.Spec.To;
  bool bad = isNew && isFaultActive(sim, route) && sim.Quality != "good" &&
             sim.Quality != "slow" && sim.Quality != "region-slow";
  bool failed = sim.Rand.chance(bad ? BadFailureChance : GoodFailureChance);
  Duration took = latency(sim, vm, isNew, route);
  ++sim.Requests;
  sim.NewRequests += isNew ? 1 : 0;
  sim.LateNewRequests +=
      isNew && sim.Detected && sim.Clock.Now > sim.DetectedAt + StopLimit;
  sim.Clock.after(took, [=, &sim] {
    if (observeResult(sim.Rollouts[vm], name, version, failed, took))
      sim.Log.record(sim.Clock.Now, "vm " + std::to_string(vm) + " stops");
    observeResult(sim.Reference, name, version, failed, took);
    if (!sim.Reference.Stopped || sim.Detected)
      return;
    sim.Detected = true;
    sim.DetectedAt = sim.Clock.Now;
  });
}

void sendHeartbeats(RolloutSimulation &sim, std::size_t vm) {
  const Rollout &own = sim.Rollouts[vm];
  VmId name("vm-" + std::to_string(vm));
  for (std::size_t n = 0; n < sim.Rollouts.size(); ++n)
    for (const auto &[route, evidence] : own.Routes)
      if (n != vm)
        sim.Clock.after(HeartbeatDelay,
                        [&sim, n, name, route = route,
                         failures = evidence.OwnFailures,
                         slowness = evidence.OwnSlowness, stop = own.Stopped] {
                          mergePeerEvidence(sim.Rollouts[n], name, route,
                                            failures, slowness, stop);
                        });
}

void planStep(RolloutSimulation &sim, std::size_t vm) {
  auto next = planRollout(sim.Rollouts[vm], wallTime(sim));
  if (!next || next->Rev != sim.Stored.Rev + Revision(1))
    return;
  sim.Stored = *next;
  sim.OverCap += next->Share > sim.Rollouts[vm].Spec.Cap && !next->Proven;
  sim.Log.record(sim.Clock.Now,
                 "phase " + std::to_string(static_cast<int>(next->Phase)) +
                     " share " + std::to_string(next->Share.Value) + " " +
                     next->Reason);
  if (next->Phase == RolloutPhase::Done && sim.DoneAtMs < 0)
    sim.DoneAtMs = static_cast<double>(sim.Clock.Now.count()) / 1000;
  sim.Clock.after(StoreDelay, [&sim, record = *next] {
    for (Rollout &it : sim.Rollouts)
      adoptRecord(it, record);
    adoptRecord(sim.Reference, record);
  });
}

Rollout makeRollout(const Json::Value &params) {
  Rollout out;
  out.Spec.Name = RolloutId("rollout");
  out.Spec.Service = ServiceId("service");
  out.Spec.From = VersionId("v1");
  out.Spec.To = VersionId("v2");
  for (int step : {10'000, 50'000, 200'000, 500'000, 1'000'000})
    out.Spec.Steps.emplace_back(step);
  out.Spec.Start = WallTime(Millis(1000));
  out.Spec.Deadline = WallTime(Millis(params["deadline_ms"].asInt64()));
  return out;
}

} // namespace

Measurements replayRollout(const Trace &trace, DecisionLog &log) {
  const Json::Value &params = trace.Parameters;
  RolloutSimulation sim(trace.Seed, log);
  sim.Quality = params["quality"].asString();
  sim.BadFrom = millisOf(params, "bad_from_ms");
  sim.Reference = makeRollout(params);
  sim.Rollouts.assign(params.get("vms", 10).asUInt(), sim.Reference);
  Duration gap = Duration(Seconds(1)) / params["per_second_per_vm"].asInt64();
  for (std::size_t n = 0; n < sim.Rollouts.size(); ++n) {
    Duration phase(sim.Rand.below(1'000'000));
    sim.Clock.every(phase, gap, [&sim, n] { serveRequest(sim, n); });
    sim.Clock.every(phase, HeartbeatInterval,
                    [&sim, n] { sendHeartbeats(sim, n); });
    sim.Clock.every(phase, PlanInterval, [&sim, n] { planStep(sim, n); });
  }
  sim.Clock.runUntil(trace.Length);
  Measurements measured;
  measured["over_cap"] = static_cast<double>(sim.OverCap);
  measured["late_new"] = static_cast<double>(sim.LateNewRequests);
  measured["new_pct"] = 100.0 * static_cast<double>(sim.NewRequests) /
                        static_cast<double>(sim.Requests);
  measured["shown_at_ms"] = static_cast<double>(sim.DetectedAt.count()) / 1000;
  measured["taken_back"] = sim.Stored.Phase == RolloutPhase::RolledBack;
  measured["done_in_time"] =
      sim.DoneAtMs >= 0 && sim.DoneAtMs <= params["deadline_ms"].asDouble();
  return measured;
}

} // namespace savorylb::replay
