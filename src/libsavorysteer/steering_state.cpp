#include "steering_state.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Round trips before any connection was measured.
constexpr double SameZoneMs = 1;
constexpr double SameRegionMs = 4;
constexpr double OtherRegionMs = 50;
/// Part of one connection in the smoothed round trip.
constexpr double RoundTripWeight = 0.1;
/// Expected work before any response, as parts of the latency target.
constexpr double FirstCachedPart = 0.45;
constexpr double FirstUncachedPart = 1.4;
/// Part of one response in the smoothed work time.
constexpr double WorkWeight = 0.05;
/// A team over its limit comes back no sooner.
constexpr Duration MinLimitDelay = Millis(200);
/// Retry delay when the VM has no configuration or a service has no target.
constexpr Duration UnknownRetryAfter = Millis(500);

double roundTripMs(const SteeringState &state, const TargetState &target) {
  auto it = state.RoundTripMs.find(target.Entry.Zone);
  if (it != state.RoundTripMs.end())
    return it->second;
  const VmEntry &self = state.Fleet.Self;
  if (target.Entry.Zone == self.Zone)
    return SameZoneMs;
  return target.Region == self.Region ? SameRegionMs : OtherRegionMs;
}

ServiceState::WorkTime &workTime(ServiceState &service,
                                 const RouteRule &route) {
  auto known = service.Work.find(route.Id);
  if (known != service.Work.end())
    return known->second;
  double target = static_cast<double>(route.LatencyTarget.count());
  ServiceState::WorkTime first{FirstCachedPart * target,
                               FirstUncachedPart * target};
  // A new route's requests are likely to be like those of the other routes.
  if (!service.Work.empty())
    first = service.Work.begin()->second;
  return service.Work.emplace(route.Id, first).first->second;
}

/// Takes one response into the mean work times, if it is known whether the
/// target had the object cached.
void learnWork(SteeringState &state, const SteeredRequest &request,
               const TargetState &target, double tookMs, MonoTime now) {
  ServiceState::WorkTime &work =
      workTime(state.Services[request.Service], *request.Route);
  double worked = std::max(1.0, tookMs - roundTripMs(state, target));
  bool seen = target.Objects.count(request.Object) > 0;
  if (knownCached(target, request.Object, now))
    work.CachedMs += WorkWeight * (worked - work.CachedMs);
  else if (!seen && worked > work.CachedMs)
    work.UncachedMs += WorkWeight * (worked - work.UncachedMs);
}

/// \returns a response time relative to the expected one; responses that may
///          have been uncached executions count only beyond the time of one.
double relativeTime(const SteeredRequest &request, const TargetState &target,
                    const SendOutcome &outcome, double tookMs, MonoTime now) {
  if (outcome.ExpectedMs <= 0)
    return -1;
  if (knownCached(target, request.Object, now))
    return tookMs / outcome.ExpectedMs;
  return std::max(
      1.0, tookMs / std::max(outcome.ExpectedMs, outcome.ExpectedUncachedMs));
}

/// Draws a split so that each gets its part over few requests.
ServiceId drawSplit(SteeringState &state, const RouteRule &route) {
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

/// Which versions of a service a request may use.
struct VersionRule {
  /// Only this one, when not empty.
  VersionId Only;
  /// Not this one, when not empty.
  VersionId Never;
  /// Only some of the version's targets.
  bool FewTargets = false;
};

VersionId commonVersion(const SteeringState &state, const ServiceId &service) {
  std::map<VersionId, int> counts;
  for (const auto &[id, target] : state.Targets)
    if (target.Entry.Service == service)
      ++counts[target.Entry.Version];
  VersionId best;
  for (const auto &[version, n] : counts)
    if (best.empty() || n > counts[best])
      best = version;
  return best;
}

VersionRule versionRule(SteeringState &state, ServiceState &service,
                        SteeredRequest &request, MonoTime now) {
  VersionRule rule;
  if (rolloutRuns(service)) {
    const VersionId &candidate = service.Order->Version;
    rule.Never = candidate;
    if (service.CandidateBad)
      return rule;
    RolloutStep step =
        planRollout(now - service.OrderedAt, service.Order->Window,
                    state.Bounds.TrialShare);
    if (!request.CandidateDrawn) {
      request.CandidateDrawn = true;
      service.CandidateCredit += step.Share;
      request.Candidate = service.CandidateCredit >= 1;
      if (request.Candidate)
        service.CandidateCredit -= 1;
    }
    if (request.Candidate)
      rule = {candidate, VersionId(), step.FewTargets};
    return rule;
  }
  if (service.Status.State == RolloutState::Completed) {
    rule.Only = service.Status.Version;
    return rule;
  }
  if (service.Status.State == RolloutState::RolledBack)
    rule.Never = service.Status.Version;
  else if (service.Usual.empty())
    service.Usual = commonVersion(state, request.Service);
  if (rule.Never.empty())
    rule.Only = service.Usual;
  return rule;
}

/// A trial uses this part of the new version's targets, at least one.
constexpr double TrialTargets = 0.13;

void keepFew(std::vector<PlacementCandidate> &candidates) {
  auto part =
      std::lround(TrialTargets * static_cast<double>(candidates.size()));
  auto n = static_cast<std::size_t>(std::max(1L, part));
  // Targets come in the order of their ids, which is the same on all VMs.
  if (candidates.size() > n)
    candidates.resize(n);
}

std::vector<PlacementCandidate> findCandidates(SteeringState &state,
                                               const SteeredRequest &request,
                                               const VersionRule &versions,
                                               MonoTime now) {
  std::vector<PlacementCandidate> found;
  std::vector<WarmupSender> senders;
  auto rule = request.Config->Services.find(request.Service);
  double perSecond =
      rule == request.Config->Services.end() ? 0 : rule->second.WarmupPerSecond;
  for (auto &[id, target] : state.Targets) {
    const TargetEntry &entry = target.Entry;
    if (entry.Service != request.Service || entry.Draining)
      continue;
    if (!versions.Only.empty() && entry.Version != versions.Only)
      continue;
    if (!versions.Never.empty() && entry.Version == versions.Never)
      continue;
    if (isSuspended(target, now))
      continue;
    if (state.Evacuated.count(entry.Zone) ||
        !regionAllowed(*request.Route, request.TeamLimits, target.Region))
      continue;
    if (now < target.ColdUntil && perSecond > 0) {
      if (senders.empty())
        for (const VmEntry &it : liveVms(state.Fleet, now))
          senders.push_back({it.Vm, it.Region});
      if (warmupSender(target, senders) != state.Fleet.Self.Vm ||
          !hasWarmupToken(target, perSecond, now))
        continue;
    }
    found.push_back({&target, roundTripMs(state, target)});
  }
  if (versions.FewTargets)
    keepFew(found);
  return found;
}

/// Answers the end of a burst: requests that ran in other regions return to
/// the own one in steps. Only those that are in time elsewhere stay away.
PlacementChoice keepAway(const SteeringState &state,
                         const PlacementRequest &query,
                         std::vector<PlacementCandidate> candidates,
                         const PlacementChoice &choice, MonoTime now) {
  const RegionId &own = state.Fleet.Self.Region;
  if (!choice.Target || choice.Target->Region != own ||
      regionMayGrow(state.Regions, own, now))
    return choice;
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const PlacementCandidate &it) {
                                    return it.Target->Region == own;
                                  }),
                   candidates.end());
  PlacementChoice away = placeRequest(query, candidates, now);
  double leftMs = static_cast<double>(
                      (Duration(query.LatencyTarget) - query.Elapsed).count()) /
                  1000.0;
  return away.Target && away.ExpectedMs <= leftMs ? away : choice;
}

} // namespace

Admission admitRequest(SteeringState &state, SteeredRequest &request,
                       const std::string &host, const std::string &path,
                       const std::string &key, MonoTime now) {
  if (!state.Config)
    return {503, "no-configuration", UnknownRetryAfter};
  request.Config = state.Config;
  const SteerConfig &config = *request.Config;
  request.Route = findRoute(config, host, path);
  if (!request.Route)
    return {404, "no-route", Duration::zero()};
  auto holder = config.Keys.find(key);
  if (holder != config.Keys.end())
    request.Team = holder->second;
  else if (config.KeysRequired && !request.Route->Open)
    return {401, "unknown-key", Duration::zero()};
  request.Service = drawSplit(state, *request.Route);
  countRequest(state.Services[request.Service].Repeats, now);
  request.Deadline =
      std::min(request.Deadline, request.ArrivedAt + request.Route->Timeout);
  auto team = config.Teams.find(request.Team);
  if (team == config.Teams.end())
    return {};
  request.TeamLimits = &team->second;
  TeamLimit &limit = state.Teams[request.Team];
  countArrival(limit);
  double rate = team->second.RequestsPerSecond;
  if (rate <= 0)
    return {};
  TeamGate &gate = state.Gates[request.Team];
  gate.ArrivedAt = now;
  gate.Unreported.Arrivals += 1;
  double own = limit.DemandPerSecond;
  double all = own + peerDemand(state.Fleet, request.Team, now);
  int vms = static_cast<int>(liveVms(state.Fleet, now).size());
  double share = shareOfLimit(own, all, vms);
  // The VM's own bucket goes on also while the ledger decides, and takes over
  // when the ledger's VM is not reached.
  bool hadToken = takeTeamToken(limit, rate, team->second.Burst, share, now);
  bool admitted = partValid(gate, now) ? admitByPart(gate) : hadToken;
  if (admitted) {
    gate.Unreported.Admitted += 1;
    return {};
  }
  if (hadToken)
    returnTeamToken(limit);
  return {
      429, "team-limit",
      std::max(Duration(MinLimitDelay), teamTokenDelay(limit, rate, share))};
}

void returnAdmission(SteeringState &state, const SteeredRequest &request) {
  if (!request.TeamLimits || request.TeamLimits->RequestsPerSecond <= 0)
    return;
  returnTeamToken(state.Teams[request.Team]);
  state.Gates[request.Team].Unreported.Admitted -= 1;
}

PlacementChoice chooseTarget(SteeringState &state, SteeredRequest &request,
                             MonoTime now) {
  ServiceState &service = state.Services[request.Service];
  VersionRule versions = versionRule(state, service, request, now);
  std::vector<PlacementCandidate> candidates =
      findCandidates(state, request, versions, now);
  if (candidates.empty() && !versions.Only.empty() && request.Candidate) {
    // The new version cannot take it; the old one may.
    versions = {VersionId(), versions.Only, false};
    candidates = findCandidates(state, request, versions, now);
  }
  PlacementRequest query;
  query.Object = request.Route->Affinity ? request.Object : "";
  query.Zone = state.Fleet.Self.Zone;
  query.Region = state.Fleet.Self.Region;
  query.BodyBytes = request.BodyBytes;
  query.LatencyTarget = request.Route->LatencyTarget;
  query.Priority = requestPriority(*request.Route, request.TeamLimits);
  query.Elapsed = now - request.ArrivedAt;
  query.Left = request.Deadline - now;
  query.Tried = request.Tried;
  const ServiceState::WorkTime &work = workTime(service, *request.Route);
  query.CachedMs = work.CachedMs;
  query.UncachedMs = work.UncachedMs;
  PlacementChoice choice = placeRequest(query, candidates, now);
  return keepAway(state, query, candidates, choice, now);
}

void noteSent(SteeringState &state, SteeredRequest &request,
              TargetState &target, MonoTime now) {
  request.Tried.push_back(target.Entry.Id);
  target.InFlight.push_back(now);
  noteRegion(state.Regions, target.Region, now);
  auto rule = request.Config->Services.find(request.Service);
  if (now < target.ColdUntil && rule != request.Config->Services.end())
    takeWarmupToken(target, rule->second.WarmupPerSecond, now);
}

void noteOutcome(SteeringState &state, const SteeredRequest &request,
                 const TargetId &target, const SendOutcome &outcome,
                 MonoTime now) {
  auto found = state.Targets.find(target);
  ServiceState &service = state.Services[request.Service];
  if (found != state.Targets.end()) {
    TargetState &known = found->second;
    if (outcome.Load) {
      noteLoad(known, *outcome.Load, now);
      setReportMemory(known, static_cast<int>(state.Fleet.Registered.size()));
    }
    auto sent =
        std::find(known.InFlight.begin(), known.InFlight.end(), outcome.SentAt);
    if (sent != known.InFlight.end())
      known.InFlight.erase(sent);
    double tookMs = static_cast<double>(outcome.Took.count()) / 1000.0;
    bool executed = outcome.Status > 0 && outcome.Result != TargetResult::Shed;
    double relative =
        executed ? relativeTime(request, known, outcome, tookMs, now) : -1;
    noteResult(known, outcome.Result, relative, now);
    if (outcome.Result == TargetResult::Answered) {
      if (!outcome.Load || outcome.Load->Waiting == 0)
        learnWork(state, request, known, tookMs, now);
      noteObject(known, request.Object, now);
    }
    if (rolloutRuns(service) && outcome.Result != TargetResult::Shed &&
        outcome.Result != TargetResult::Unreachable && now >= known.ColdUntil) {
      RouteTally &tally = service.Evidence[request.Route->Id];
      VersionTally &version = known.Entry.Version == service.Order->Version
                                  ? tally.Candidate
                                  : tally.Baseline;
      ++version.Responses;
      if (outcome.Result == TargetResult::Failed)
        ++version.Failures;
      if (outcome.Took > SlowFactor * request.Route->LatencyTarget)
        ++version.Slow;
    }
  }
}

bool mayRepeat(SteeringState &state, const SteeredRequest &request,
               MonoTime now) {
  if (static_cast<int>(request.Tried.size()) >=
      std::max(1, request.Route->MaxTargets))
    return false;
  RepeatBounds bounds = state.Bounds.Repeats;
  bounds.Vms = static_cast<int>(liveVms(state.Fleet, now).size());
  return takeRepeat(state.Services[request.Service].Repeats, bounds, now);
}

void noteConnectTime(SteeringState &state, const ZoneId &zone, Duration took) {
  double ms = static_cast<double>(took.count()) / 1000.0;
  auto [it, first] = state.RoundTripMs.emplace(zone, ms);
  if (first)
    return;
  // A short time is the path's; a long one may be the target's queue.
  it->second =
      ms < it->second ? ms : it->second + RoundTripWeight * (ms - it->second);
}

bool rolloutRuns(const ServiceState &service) {
  if (!service.Order)
    return false;
  bool ended = service.Status.State == RolloutState::Completed ||
               service.Status.State == RolloutState::RolledBack;
  return !ended || service.Status.Written < service.Order->Ordered;
}

} // namespace savorylb
