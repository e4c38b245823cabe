#include "steering_state.h"

#include "load_reports.h"
#include "processing_times.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Weight of one connection in the smoothed round trip.
constexpr double RoundTripWeight = 0.1;

/// Restricts the versions of a service that a request may use.
struct VersionRule {
  /// If not empty, the only version allowed.
  VersionId Only;
  /// If not empty, a version that is not allowed.
  VersionId Excluded;
  /// Use only the version's targets that take requests of a trial.
  std::optional<TrialLoad> Trial;
};

VersionId mostCommonVersion(const SteeringState &state,
                            const ServiceId &service) {
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
    const VersionId &newVersion = service.Order->Version;
    rule.Excluded = newVersion;
    if (service.NewVersionBad)
      return rule;
    RolloutStep step =
        planRollout(now - service.OrderedAt, service.Order->Window,
                    state.Bounds.BadVersion);
    auto vms = static_cast<int>(state.Fleet.Registered.size()) + 1;
    if (!request.VersionChosen) {
      request.VersionChosen = true;
      accrueCredit(service.NewVersionCredit, step, vms, now);
      request.UsesNewVersion = service.NewVersionCredit.Requests >= 1;
      if (request.UsesNewVersion)
        service.NewVersionCredit.Requests -= 1;
    }
    if (request.UsesNewVersion) {
      rule = {newVersion, VersionId(), std::nullopt};
      if (step.TargetSubset)
        rule.Trial = {trialRate(service.NewVersionCredit, step, vms, now),
                      processingTime(service, *request.Route).UncachedMs};
    }
    return rule;
  }
  if (service.Status.State == RolloutState::Completed) {
    rule.Only = service.Status.Version;
    return rule;
  }
  if (service.Status.State == RolloutState::RolledBack)
    rule.Excluded = service.Status.Version;
  else if (service.DefaultVersion.empty())
    service.DefaultVersion = mostCommonVersion(state, request.Service);
  if (rule.Excluded.empty())
    rule.Only = service.DefaultVersion;
  return rule;
}

/// Keeps the targets that take requests of a trial.
void limitToTrial(std::vector<PlacementCandidate> &candidates,
                  const TrialLoad &load, MonoTime now) {
  auto removeIf = [&](const auto &condition) {
    candidates.erase(
        std::remove_if(candidates.begin(), candidates.end(), condition),
        candidates.end());
  };
  removeIf(
      [&](const PlacementCandidate &it) { return now < it.Target->ColdUntil; });
  if (candidates.empty())
    return;
  // Targets are ordered by id, so that all VMs choose the same subset.
  candidates.resize(trialTargets(load, candidates.front().Target->Entry.Slots,
                                 candidates.size()));
  removeIf([&](const PlacementCandidate &it) {
    return !hasTrialRoom(*it.Target, now);
  });
}

TargetCandidates findCandidates(SteeringState &state,
                                const SteeredRequest &request,
                                const VersionRule &versions, MonoTime now) {
  TargetCandidates found;
  std::vector<WarmupSender> senders;
  auto rule = request.Config->Services.find(request.Service);
  double perSecond =
      rule == request.Config->Services.end() ? 0 : rule->second.WarmupPerSecond;
  const std::set<VersionId> &rejected =
      state.Services[request.Service].RejectedVersions;
  for (auto &[id, target] : state.Targets) {
    const TargetEntry &entry = target.Entry;
    if (entry.Service != request.Service || !takesNewRequests(state, target))
      continue;
    if (!versions.Only.empty() && entry.Version != versions.Only)
      continue;
    if (!versions.Excluded.empty() && entry.Version == versions.Excluded)
      continue;
    if (versions.Only.empty() && rejected.count(entry.Version))
      continue;
    if (isSuspended(target, now) ||
        !regionAllowed(*request.Route, request.MatchedTeamRule, target.Region))
      continue;
    if (now < target.ColdUntil && perSecond > 0) {
      if (senders.empty())
        for (const VmEntry &it : liveVms(state.Fleet, now))
          senders.push_back({it.Vm, it.Region});
      if (warmupSender(target, senders) != state.Fleet.Self.Vm ||
          !hasWarmupToken(target, perSecond, now))
        continue;
    }
    addCandidate(found, target, roundTripMs(state, target), now);
  }
  if (versions.Trial)
    limitToTrial(found.Usable, *versions.Trial, now);
  return found;
}

/// \returns whether the service has recently received less urgent requests.
bool hasLessUrgent(const PriorityDemands &demands, int priority, MonoTime now) {
  constexpr Duration Recent = Seconds(3);
  return std::any_of(demands.begin(), demands.end(), [&](const auto &it) {
    return it.first > priority && now - it.second.UpdatedAt <= Recent;
  });
}

int totalSlots(const std::vector<PlacementCandidate> &candidates) {
  int slots = 0;
  for (const PlacementCandidate &it : candidates)
    slots += std::max(1, it.Target->Entry.Slots);
  return slots;
}

/// Limits how fast requests return to this VM's region at the end of a burst
/// during which they ran in other regions. While the limit is reached, a
/// request stays in another region if it is expected to finish in time there.
PlacementChoice limitRegionReturn(const SteeringState &state,
                                  const PlacementRequest &query,
                                  std::vector<PlacementCandidate> candidates,
                                  const PlacementChoice &choice, MonoTime now) {
  const RegionId &own = state.Fleet.Self.Region;
  if (!choice.Target || choice.Target->Region != own ||
      mayIncreaseShare(state.Regions, own, now))
    return choice;
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const PlacementCandidate &it) {
                                    return it.Target->Region == own;
                                  }),
                   candidates.end());
  PlacementChoice elsewhere = placeRequest(query, candidates, now);
  double remainingMs =
      static_cast<double>(
          (Duration(query.LatencyTarget) - query.Elapsed).count()) /
      1000.0;
  return elsewhere.Target && elsewhere.ExpectedMs <= remainingMs ? elsewhere
                                                                 : choice;
}

/// Refuses a request that would be cut off by the end of this VM.
PlacementChoice refuseBeforeStop(const SteeringState &state,
                                 const SteeredRequest &request,
                                 PlacementChoice choice, MonoTime now) {
  if (!state.Stop || !choice.Target)
    return choice;
  double ms = std::max(choice.ExpectedMs, choice.ExpectedUncachedMs);
  auto expected = Duration(static_cast<Duration::rep>(ms * 1000.0));
  if (endsBeforeStop(*state.Stop, expected, request.Deadline, now))
    return choice;
  choice.Target = nullptr;
  choice.Reason = "stopping";
  choice.RetryAfter = StoppingRetryAfter;
  return choice;
}

} // namespace

PlacementChoice chooseTarget(SteeringState &state, SteeredRequest &request,
                             MonoTime now) {
  ServiceState &service = state.Services[request.Service];
  VersionRule versions = versionRule(state, service, request, now);
  TargetCandidates candidates = findCandidates(state, request, versions, now);
  if (candidates.Usable.empty() && !versions.Only.empty() &&
      request.UsesNewVersion) {
    // No target of the new version is available; fall back to other versions.
    if (versions.Trial && request.Tried.empty()) {
      service.NewVersionCredit.Requests += 1;
      request.UsesNewVersion = false;
    }
    versions = {VersionId(), versions.Only, std::nullopt};
    candidates = findCandidates(state, request, versions, now);
  }
  if (auto refusal = refuseWhilePaused(candidates, request, now))
    return *refusal;
  PlacementRequest query;
  query.Object = request.Route->Affinity ? request.Object : "";
  query.Zone = state.Fleet.Self.Zone;
  query.Region = state.Fleet.Self.Region;
  query.BodyBytes = request.BodyBytes;
  query.LatencyTarget = request.Route->LatencyTarget;
  query.Priority = requestPriority(*request.Route, request.MatchedTeamRule);
  query.Elapsed = now - request.ArrivedAt;
  query.Remaining = request.Deadline - now;
  query.Tried = request.Tried;
  const ProcessingTime &mean = processingTime(service, *request.Route);
  query.CachedMs = mean.CachedMs;
  query.UncachedMs = mean.UncachedMs;
  if (state.Bounds.SharedLoads)
    query.SlotMs = service.SlotMs;
  bool first = !request.Counted;
  request.Counted = true;
  if (state.Bounds.OverloadControl) {
    // Less urgent requests of the service are refused first. They often have
    // longer latency targets, so the pressure alone would refuse the others.
    query.MaxLatencyFraction =
        hasLessUrgent(service.Priorities, query.Priority, now)
            ? WideLatencyFraction
            : latencyBound(service.Overload);
    if (first)
      countPriority(service.Priorities, query.Priority, mean.CachedMs, now);
    if (state.Deferred < MaxDeferred && request.Tried.empty())
      query.ReservedFraction =
          reservedFraction(service.Priorities, query.Priority, mean.CachedMs,
                           static_cast<int>(state.Fleet.Registered.size()) + 1,
                           totalSlots(candidates.Usable), now);
  }
  if (state.Bounds.ObjectReplicas > 1) {
    query.Replicas = {state.Bounds.ObjectReplicas, state.Bounds.CachedObjects};
    query.Demands = &service.Demands;
    query.RegionVms =
        static_cast<int>(storeWatchers(state.Fleet, query.Region, now).size());
    query.ResponseBytes = service.ResponseBytes[request.Route->Id];
    query.Draw = state.TieBreaker();
    if (first)
      countObjectRequest(service.Demands, query.Object, now);
  }
  PlacementChoice choice = placeRequest(query, candidates.Usable, now);
  RouteStatistics &statistics = service.Statistics[request.Route->Id];
  statistics.ReservedFraction =
      std::max(statistics.ReservedFraction, query.ReservedFraction);
  if (first && choice.Defer > Duration::zero())
    ++statistics.Deferred;
  if (choice.Defer > Duration::zero())
    return choice;
  if (state.Bounds.OverloadControl && request.Tried.empty()) {
    auto target = static_cast<double>(query.LatencyTarget.count());
    recordPressure(service.Overload,
                   choice.Queued ? choice.ExpectedMs / std::max(1.0, target)
                                 : 0);
  }
  choice = limitRegionReturn(state, query, candidates.Usable, choice, now);
  return refuseBeforeStop(state, request, choice, now);
}

void recordSend(SteeringState &state, SteeredRequest &request,
                TargetState &target, MonoTime now) {
  request.Tried.push_back(target.Entry.Id);
  target.InFlight.push_back(now);
  recordRegion(state.Regions, target.Region, now);
  auto rule = request.Config->Services.find(request.Service);
  if (now < target.ColdUntil && rule != request.Config->Services.end())
    takeWarmupToken(target, rule->second.WarmupPerSecond, now);
}

void recordOutcome(SteeringState &state, const SteeredRequest &request,
                   const TargetId &target, const SendOutcome &outcome,
                   MonoTime now) {
  auto found = state.Targets.find(target);
  ServiceState &service = state.Services[request.Service];
  if (found != state.Targets.end()) {
    TargetState &known = found->second;
    if (outcome.Load && state.Bounds.SharedLoads) {
      recordOwnLoad(known, *outcome.Load, now);
    } else if (outcome.Load) {
      recordLoad(known, *outcome.Load, now);
      setReportSmoothing(known,
                         static_cast<int>(state.Fleet.Registered.size()));
    }
    auto sent =
        std::find(known.InFlight.begin(), known.InFlight.end(), outcome.SentAt);
    if (sent != known.InFlight.end())
      known.InFlight.erase(sent);
    double tookMs = static_cast<double>(outcome.Took.count()) / 1000.0;
    bool executed = outcome.Status > 0 && outcome.Result != TargetResult::Shed;
    double relative =
        executed ? relativeTime(request, known, outcome, tookMs, now) : -1;
    recordResult(known, outcome.Result, relative, now);
    if (outcome.Result == TargetResult::Answered) {
      recordResponse(state, request, known, outcome, tookMs);
      if (!outcome.Load || outcome.Load->Waiting == 0)
        recordProcessingTime(state, request, known, tookMs, now);
      recordObject(known, request.Object, now);
    }
    if (rolloutRuns(service) && outcome.Result != TargetResult::Shed &&
        outcome.Result != TargetResult::Unreachable && now >= known.ColdUntil) {
      RouteTally &tally = service.Evidence[request.Route->Id];
      VersionTally &version = known.Entry.Version == service.Order->Version
                                  ? tally.NewVersion
                                  : tally.OldVersion;
      ++version.Responses;
      if (outcome.Result == TargetResult::Failed)
        ++version.Failures;
      if (outcome.Took > SlowFactor * request.Route->LatencyTarget)
        ++version.Slow;
    }
  }
}

bool mayRetry(SteeringState &state, const SteeredRequest &request,
              MonoTime now) {
  if (static_cast<int>(request.Tried.size()) >=
      std::max(1, request.Route->MaxTargets))
    return false;
  RetryLimits limits = state.Bounds.Retries;
  limits.Vms = static_cast<int>(liveVms(state.Fleet, now).size());
  return takeRetry(state.Services[request.Service].Retries, limits, now);
}

void recordConnectTime(SteeringState &state, const ZoneId &zone,
                       Duration took) {
  double ms = static_cast<double>(took.count()) / 1000.0;
  auto [it, first] = state.RoundTripMs.emplace(zone, ms);
  if (first)
    return;
  // A shorter time is the network's and is used at once; a longer one may be
  // due to the target's queue.
  it->second =
      ms < it->second ? ms : it->second + RoundTripWeight * (ms - it->second);
}

bool rolloutRuns(const ServiceState &service) {
  if (!service.Order)
    return false;
  bool ended = service.Status.State == RolloutState::Completed ||
               service.Status.State == RolloutState::RolledBack;
  return !ended || !service.StatusCoversOrder;
}

} // namespace savorylb
