// Rollouts of good and bad versions on several VMs that share evidence by
// heartbeats.

#include "drivers.h"
#include "random.h"
#include "virtual_time.h"

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
/// P7: nothing goes to a bad version later than this after it showed.
constexpr Duration StopLimit = Seconds(2);
constexpr double BadFailures = 0.3;
constexpr double GoodFailures = 0.005;

struct RolloutWorld {
  VirtualTime Time;
  Random Rand;
  DecisionLog &Log;
  std::string Quality;
  /// When the version turns bad, or the region slow.
  Duration BadFrom{};
  std::vector<Rollout> Vms;
  /// Sees every result at once; when it stops, the evidence of the fleet was
  /// sufficient by the test.
  Rollout Reference;
  RolloutRecord Stored;
  bool Shown = false;
  Duration ShownAt{};
  long Requests = 0;
  long NewRequests = 0;
  long LateNew = 0;
  long OverCap = 0;
  double DoneAtMs = -1;

  RolloutWorld(std::uint64_t seed, DecisionLog &log) : Rand(seed), Log(log) {}
};

WallTime wall(const RolloutWorld &world) {
  return WallTime(std::chrono::duration_cast<Millis>(world.Time.Now));
}

bool isBad(const RolloutWorld &world, int route) {
  if (world.Quality == "one-route")
    return route == 2;
  if (world.Quality == "under-load")
    return world.Stored.Share >= Ppm(200'000);
  return world.Time.Now >= world.BadFrom;
}

/// Log-normal around 10 ms.
Duration latency(RolloutWorld &world, std::size_t vm, bool isNew, int route) {
  double u = 1 - world.Rand.unit();
  double normal = std::sqrt(-2 * std::log(u)) *
                  std::cos(6.283185307179586 * world.Rand.unit());
  double factor = std::exp(0.5 * normal);
  if (isNew && world.Quality == "slow" && isBad(world, route))
    factor *= 3;
  // One of three regions becomes slow for both versions.
  if (world.Quality == "region-slow" && vm % 3 == 0 &&
      world.Time.Now >= world.BadFrom)
    factor *= 3;
  return Duration(static_cast<std::int64_t>(10'000 * factor));
}

void serve(RolloutWorld &world, std::size_t vm) {
  Rollout &own = world.Vms[vm];
  int route = static_cast<int>(world.Rand.below(Routes));
  RouteId name("route-" + std::to_string(route));
  VersionId version = chooseVersion(own, name);
  bool isNew = version == own.Spec.To;
  bool fails = isNew && isBad(world, route) && world.Quality != "good" &&
               world.Quality != "slow" && world.Quality != "region-slow";
  bool failed = world.Rand.chance(fails ? BadFailures : GoodFailures);
  Duration took = latency(world, vm, isNew, route);
  ++world.Requests;
  world.NewRequests += isNew ? 1 : 0;
  world.LateNew +=
      isNew && world.Shown && world.Time.Now > world.ShownAt + StopLimit;
  world.Time.after(took, [=, &world] {
    if (observeResult(world.Vms[vm], name, version, failed, took))
      world.Log.note(world.Time.Now, "vm " + std::to_string(vm) + " stops");
    observeResult(world.Reference, name, version, failed, took);
    if (!world.Reference.Stopped || world.Shown)
      return;
    world.Shown = true;
    world.ShownAt = world.Time.Now;
  });
}

void sendHeartbeats(RolloutWorld &world, std::size_t vm) {
  const Rollout &own = world.Vms[vm];
  VmId name("vm-" + std::to_string(vm));
  for (std::size_t n = 0; n < world.Vms.size(); ++n)
    for (const auto &[route, seen] : own.Routes)
      if (n != vm)
        world.Time.after(HeartbeatDelay,
                         [&world, n, name, route = route,
                          failures = seen.Failures, slowness = seen.Slowness,
                          stop = own.Stopped] {
                           mergePeerEvidence(world.Vms[n], name, route,
                                             failures, slowness, stop);
                         });
}

void planStep(RolloutWorld &world, std::size_t vm) {
  auto next = planRollout(world.Vms[vm], wall(world));
  if (!next || next->Rev != world.Stored.Rev + Revision(1))
    return;
  world.Stored = *next;
  world.OverCap += next->Share > world.Vms[vm].Spec.Cap && !next->Proven;
  world.Log.note(world.Time.Now,
                 "phase " + std::to_string(static_cast<int>(next->Phase)) +
                     " share " + std::to_string(next->Share.Value) + " " +
                     next->Reason);
  if (next->Phase == RolloutPhase::Done && world.DoneAtMs < 0)
    world.DoneAtMs = static_cast<double>(world.Time.Now.count()) / 1000;
  world.Time.after(StoreDelay, [&world, record = *next] {
    for (Rollout &it : world.Vms)
      adoptRecord(it, record);
    adoptRecord(world.Reference, record);
  });
}

Rollout makeRollout(const Json::Value &given) {
  Rollout out;
  out.Spec.Name = RolloutId("rollout");
  out.Spec.Service = ServiceId("service");
  out.Spec.From = VersionId("v1");
  out.Spec.To = VersionId("v2");
  for (int step : {10'000, 50'000, 200'000, 500'000, 1'000'000})
    out.Spec.Steps.emplace_back(step);
  out.Spec.Start = WallTime(Millis(1000));
  out.Spec.Deadline = WallTime(Millis(given["deadline_ms"].asInt64()));
  return out;
}

} // namespace

Figures replayRollout(const Trace &trace, DecisionLog &log) {
  const Json::Value &given = trace.Parameters;
  RolloutWorld world(trace.Seed, log);
  world.Quality = given["quality"].asString();
  world.BadFrom = millisOf(given, "bad_from_ms");
  world.Reference = makeRollout(given);
  world.Vms.assign(given.get("vms", 10).asUInt(), world.Reference);
  Duration gap = Duration(Seconds(1)) / given["per_second_per_vm"].asInt64();
  for (std::size_t n = 0; n < world.Vms.size(); ++n) {
    Duration phase(world.Rand.below(1'000'000));
    world.Time.every(phase, gap, [&world, n] { serve(world, n); });
    world.Time.every(phase, HeartbeatInterval,
                     [&world, n] { sendHeartbeats(world, n); });
    world.Time.every(phase, PlanInterval, [&world, n] { planStep(world, n); });
  }
  world.Time.runUntil(trace.Length);
  Figures figures;
  figures["over_cap"] = static_cast<double>(world.OverCap);
  figures["late_new"] = static_cast<double>(world.LateNew);
  figures["new_pct"] = 100.0 * static_cast<double>(world.NewRequests) /
                       static_cast<double>(world.Requests);
  figures["shown_at_ms"] = static_cast<double>(world.ShownAt.count()) / 1000;
  figures["taken_back"] = world.Stored.Phase == RolloutPhase::RolledBack;
  figures["done_in_time"] =
      world.DoneAtMs >= 0 && world.DoneAtMs <= given["deadline_ms"].asDouble();
  return figures;
}

} // namespace savorylb::replay
