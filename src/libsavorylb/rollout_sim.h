#ifndef SAVORYLB_ROLLOUT_SIM_H
#define SAVORYLB_ROLLOUT_SIM_H

#include "savorylb/rollout.h"
#include "sim_outcome.h"
#include "sim_request.h"
#include "sim_result.h"

#include <functional>
#include <random>

namespace savorylb {

/// Serves one simulated request.
using SimHandler =
    std::function<SimOutcome(const SimRequest &, std::mt19937_64 &)>;

/// Log-normal latencies with a median of 10 ms.
inline Duration simLatency(std::mt19937_64 &rng, double factor = 1.0) {
  std::lognormal_distribution<double> shape(0, 0.5);
  return Duration(static_cast<std::int64_t>(10'000 * factor * shape(rng)));
}

/// A healthy version: one request in a hundred fails.
inline SimOutcome serveHealthy(const SimRequest & /*request*/,
                               std::mt19937_64 &rng) {
  return {rng() % 100 == 0, simLatency(rng)};
}

/// \returns a rollout from v1 to v2 that starts at 1 s and lasts the given
/// time.
inline Rollout makeSimRollout(int seconds) {
  Rollout rollout;
  rollout.Spec.Name = RolloutId("r1");
  rollout.Spec.Service = ServiceId("tiles");
  rollout.Spec.From = VersionId("v1");
  rollout.Spec.To = VersionId("v2");
  rollout.Spec.Start = WallTime(Millis(1000));
  rollout.Spec.Deadline = WallTime(Millis(1000 + seconds * 1000));
  return rollout;
}

/// Simulates a rollout on one VM at 100 requests per second over 10 routes of
/// unequal traffic, until it reaches a final phase or the time is over.
inline SimResult simulateRollout(Rollout &rollout, std::uint64_t seed,
                                 int seconds, const SimHandler &serve) {
  std::mt19937_64 rng(seed);
  std::discrete_distribution<int> routes({30, 20, 15, 10, 8, 6, 5, 3, 2, 1});
  std::vector<RouteId> names;
  names.reserve(10);
  for (int i = 0; i < 10; ++i)
    names.emplace_back("route" + std::to_string(i));
  SimResult result;
  for (int n = 0; n < seconds * 100; ++n) {
    // Decisions are made ten times per second, as in the daemon.
    if (n % 10 == 0)
      if (auto next = planRollout(rollout, WallTime(Millis(1000 + n * 10))))
        adoptRecord(rollout, *next);
    result.Phase = rollout.Record.Phase;
    if (result.Phase == RolloutPhase::Done ||
        result.Phase == RolloutPhase::RolledBack)
      break;
    SimRequest request;
    request.Route = routes(rng);
    request.Number = n;
    request.Share = rollout.Record.Share;
    VersionId version = chooseVersion(rollout, names[request.Route]);
    request.IsNew = version == rollout.Spec.To;
    SimOutcome outcome = serve(request, rng);
    ++result.Requests;
    result.NewRequests += request.IsNew ? 1 : 0;
    observeResult(rollout, names[request.Route], version, outcome.Failed,
                  outcome.Took);
  }
  return result;
}

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_SIM_H
