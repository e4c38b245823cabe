// What VMs tell each other of teams, rollouts and themselves.
#include "steering_state.h"

#include <algorithm>

namespace savorylb {

std::map<VmId, std::map<TeamId, TeamUse>> takeTeamReports(SteeringState &state,
                                                          MonoTime now) {
  std::map<VmId, std::map<TeamId, TeamUse>> reports;
  std::vector<VmId> vms;
  for (const VmEntry &it : liveVms(state.Fleet, now))
    vms.push_back(it.Vm);
  for (auto &[team, gate] : state.Gates) {
    if (!reportDue(gate, now))
      continue;
    VmId keeper = ledgerVm(team, vms);
    if (!keeper.empty())
      reports[keeper][team] = takeUse(gate, now);
  }
  auto own = reports.find(state.Fleet.Self.Vm);
  if (own != reports.end()) {
    adoptTeamParts(
        state, adoptTeamReport(state, state.Fleet.Self.Vm, own->second, now),
        now);
    reports.erase(own);
  }
  return reports;
}

std::map<TeamId, double> adoptTeamReport(SteeringState &state, const VmId &vm,
                                         const std::map<TeamId, TeamUse> &uses,
                                         MonoTime now) {
  std::map<TeamId, double> parts;
  if (!state.Config)
    return parts;
  for (const auto &[team, use] : uses) {
    auto rule = state.Config->Teams.find(team);
    if (rule == state.Config->Teams.end() ||
        rule->second.RequestsPerSecond <= 0)
      continue;
    TeamRate rate{rule->second.RequestsPerSecond, rule->second.Burst};
    TeamLedger &ledger = state.Ledgers[team];
    noteTeamUse(ledger, vm, use, rate, now);
    parts[team] = admittedPart(ledger, rate, now);
  }
  return parts;
}

void adoptTeamParts(SteeringState &state, const std::map<TeamId, double> &parts,
                    MonoTime now) {
  for (const auto &[team, part] : parts) {
    TeamGate &gate = state.Gates[team];
    gate.Part = part;
    gate.Known = true;
    gate.HeardAt = now;
  }
}

PeerReport makeReport(SteeringState &state, MonoTime now) {
  PeerReport report;
  report.Vm = state.Fleet.Self;
  report.Draining = state.Fleet.SelfDraining;
  report.Documents = state.Documents;
  for (auto &[id, limit] : state.Teams) {
    updateDemand(limit, now);
    if (limit.DemandPerSecond > 0.05)
      report.Demand[id] = limit.DemandPerSecond;
  }
  for (const auto &[id, service] : state.Services)
    if (rolloutRuns(service))
      report.Rollouts[id] = {service.Order->Ordered, now - service.OrderedAt,
                             service.CandidateBad, service.Evidence};
  return report;
}

void adoptReport(SteeringState &state, const PeerReport &report, MonoTime now) {
  if (report.Vm.Vm == state.Fleet.Self.Vm)
    return;
  state.Fleet.Peers[report.Vm.Vm] = {report, now};
  for (const auto &[id, rollout] : report.Rollouts) {
    ServiceState &service = state.Services[id];
    if (!service.Order || service.Order->Ordered != rollout.Ordered)
      continue;
    // A VM that restarted learns how long the rollout has gone on.
    service.OrderedAt = std::min(service.OrderedAt, now - rollout.Elapsed);
    service.CandidateBad |= rollout.Bad;
  }
}

} // namespace savorylb
