#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Minimum retry delay for a team over its limit.
constexpr Duration MinLimitDelay = Millis(200);
/// Retry delay while the VM has no configuration.
constexpr Duration NoConfigRetryAfter = Millis(500);

/// Chooses a split by weighted round robin, so that each split receives its
/// share already over a few requests.
ServiceId chooseSplit(SteeringState &state, const RouteRule &route) {
  if (route.Splits.size() == 1)
    return route.Splits.front().Service;
  double sum = 0;
  for (const RouteSplit &it : route.Splits)
    sum += it.Weight;
  auto &credit = state.SplitCredit[route.Id];
  const RouteSplit *best = nullptr;
  for (const RouteSplit &it : route.Splits) {
    credit[it.Service] += sum > 0 ? it.Weight / sum : 1;
    if (!best || credit[it.Service] > credit[best->Service])
      best = &it;
  }
  credit[best->Service] -= 1;
  return best->Service;
}

/// \returns this VM's share of a team's limit.
double heldShare(const SteeringState &state, const TeamId &team, MonoTime now) {
  double granted = state.Throttles.at(team).Share;
  if (granted > 0)
    return granted;
  int vms = static_cast<int>(liveVms(state.Fleet, now).size());
  // There is at least one VM in each zone.
  if (!state.Fleet.Complete)
    return 1.0 / std::max(vms, static_cast<int>(state.Zones.size()));
  double own = state.LocalTeamLimits.at(team).DemandPerSecond;
  double all = own + peerDemand(state.Fleet, team, now);
  return shareOfLimit(own, all, vms);
}

} // namespace

Admission admitRequest(SteeringState &state, SteeredRequest &request,
                       const std::string &host, const std::string &path,
                       const std::string &key, MonoTime now) {
  if (!state.Config)
    return {503, "no-configuration", NoConfigRetryAfter};
  request.Config = state.Config;
  const SteerConfig &config = *request.Config;
  request.Route = findRoute(config, host, path);
  if (!request.Route)
    return {404, "no-route", Duration::zero()};
  auto holder = config.Keys.find(key);
  if (holder != config.Keys.end())
    request.Team = holder->second;
  else if (config.KeysRequired && !request.Route->Public)
    return {401, "unknown-key", Duration::zero()};
  request.Service = chooseSplit(state, *request.Route);
  countRequest(state.Services[request.Service].Retries, now);
  request.Deadline =
      std::min(request.Deadline, request.ArrivedAt + request.Route->Timeout);
  auto team = config.Teams.find(request.Team);
  if (team == config.Teams.end())
    return {};
  request.MatchedTeamRule = &team->second;
  TeamLimit &limit = state.LocalTeamLimits[request.Team];
  countArrival(limit);
  double rate = team->second.RequestsPerSecond;
  if (rate <= 0)
    return {};
  TeamThrottle &throttle = state.Throttles[request.Team];
  throttle.LastArrivalAt = now;
  throttle.Unreported.Arrivals += 1;
  double share = heldShare(state, request.Team, now);
  if (!limit.Started && !state.Fleet.Complete)
    setTeamTokens(limit, 1, now);
  // The VM's own bucket is kept up to date also while the ledger decides. It
  // takes over when the ledger's owner is unreachable.
  bool hadToken = takeTeamToken(limit, rate, team->second.Burst, share, now);
  bool admitted = hadToken;
  if (fractionValid(throttle, now))
    admitted =
        admitByFraction(throttle) && (hadToken || fractionFresh(throttle, now));
  if (admitted) {
    throttle.Unreported.Admitted += 1;
    return {};
  }
  if (hadToken)
    returnTeamToken(limit);
  return {
      429, "team-limit",
      std::max(Duration(MinLimitDelay), teamTokenDelay(limit, rate, share))};
}

void refundAdmission(SteeringState &state, const SteeredRequest &request) {
  if (!request.MatchedTeamRule ||
      request.MatchedTeamRule->RequestsPerSecond <= 0)
    return;
  returnTeamToken(state.LocalTeamLimits[request.Team]);
  state.Throttles[request.Team].Unreported.Admitted -= 1;
}

} // namespace savorylb
