// Creates and applies the reports between VMs on teams, rollouts and
// themselves.
#include "steering_state.h"

#include <algorithm>

namespace savorylb {

std::map<VmId, std::map<TeamId, TeamUsage>>
takeTeamReports(SteeringState &state, MonoTime now) {
  std::map<VmId, std::map<TeamId, TeamUsage>> reports;
  std::vector<VmId> vms;
  for (const VmEntry &it : liveVms(state.Fleet, now))
    vms.push_back(it.Vm);
  for (auto &[team, throttle] : state.Throttles) {
    if (!reportDue(throttle, now))
      continue;
    VmId owner = ledgerOwner(team, vms);
    if (!owner.empty())
      reports[owner][team] = takeUsage(throttle, now);
  }
  auto own = reports.find(state.Fleet.Self.Vm);
  if (own != reports.end()) {
    applyTeamFractions(
        state, applyTeamReport(state, state.Fleet.Self.Vm, own->second, now),
        now);
    reports.erase(own);
  }
  return reports;
}

std::map<TeamId, double>
applyTeamReport(SteeringState &state, const VmId &vm,
                const std::map<TeamId, TeamUsage> &usages, MonoTime now) {
  std::map<TeamId, double> fractions;
  if (!state.Config)
    return fractions;
  for (const auto &[team, usage] : usages) {
    auto rule = state.Config->Teams.find(team);
    if (rule == state.Config->Teams.end() ||
        rule->second.RequestsPerSecond <= 0)
      continue;
    TeamRate rate{rule->second.RequestsPerSecond, rule->second.Burst};
    TeamLedger &ledger = state.Ledgers[team];
    recordTeamUsage(ledger, vm, usage, rate, now);
    fractions[team] = admittedFraction(ledger, rate, now);
  }
  return fractions;
}

void applyTeamFractions(SteeringState &state,
                        const std::map<TeamId, double> &fractions,
                        MonoTime now) {
  for (const auto &[team, fraction] : fractions) {
    TeamThrottle &throttle = state.Throttles[team];
    throttle.Fraction = fraction;
    throttle.FractionReceived = true;
    throttle.ReceivedAt = now;
  }
}

PeerReport makePeerReport(SteeringState &state, MonoTime now) {
  PeerReport report;
  report.Vm = state.Fleet.Self;
  report.Draining = state.Fleet.SelfDraining;
  report.DocumentsRevision = state.DocumentsRevision;
  report.ConfigVersion = state.Config ? state.Config->Version : 0;
  for (auto &[id, limit] : state.LocalTeamLimits) {
    updateDemand(limit, now);
    // A team with at most 0.05 requests per second counts as idle and is left
    // out of the report.
    if (limit.DemandPerSecond > 0.05)
      report.Demand[id] = limit.DemandPerSecond;
  }
  for (const auto &[id, service] : state.Services)
    if (rolloutRuns(service))
      report.Rollouts[id] = {service.Order->OrderRevision,
                             now - service.OrderedAt, service.NewVersionBad,
                             service.Evidence};
  return report;
}

void applyPeerReport(SteeringState &state, const PeerReport &report,
                     MonoTime now) {
  if (report.Vm.Vm == state.Fleet.Self.Vm)
    return;
  state.Fleet.Peers[report.Vm.Vm] = {report, now};
  for (const auto &[id, rollout] : report.Rollouts) {
    ServiceState &service = state.Services[id];
    if (!service.Order || service.Order->OrderRevision != rollout.OrderRevision)
      continue;
    // After a restart, a VM learns from the others when the rollout started.
    service.OrderedAt = std::min(service.OrderedAt, now - rollout.Elapsed);
    service.NewVersionBad |= rollout.Bad;
  }
}

} // namespace savorylb
