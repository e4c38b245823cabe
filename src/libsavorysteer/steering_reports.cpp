// Creates and applies the reports between VMs on teams, rollouts and
// themselves.
#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Interval at which the shares that other VMs hold are read from their
/// reports.
constexpr Duration ShareNoteInterval = Millis(100);

double valueOr0(const std::map<TeamId, double> &values, const TeamId &team) {
  auto it = values.find(team);
  return it == values.end() ? 0 : it->second;
}

/// Updates a ledger by the shares that other VMs say they hold.
void noteHeldShares(SteeringState &state, const TeamId &team,
                    TeamLedger &ledger, MonoTime now) {
  // A VM that is cut off from the store may be on the smaller side of a network
  // partition, where the others' shares are in use elsewhere.
  ledger.ReclaimsShares = state.Fleet.StoreReachable;
  if (now - ledger.SharesNotedAt < ShareNoteInterval)
    return;
  ledger.SharesNotedAt = now;
  for (const auto &[vm, peer] : state.Fleet.Peers) {
    if (peer.Report.Draining)
      dropSilentVm(ledger, vm);
    else
      noteHeldShare(ledger, vm, valueOr0(peer.Report.Shares, team),
                    valueOr0(peer.Report.Demand, team), peer.ReceivedAt);
  }
}

} // namespace

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
    applyTeamGrants(
        state, applyTeamReport(state, state.Fleet.Self.Vm, own->second, now),
        now);
    reports.erase(own);
  }
  return reports;
}

std::map<TeamId, TeamGrant>
applyTeamReport(SteeringState &state, const VmId &vm,
                const std::map<TeamId, TeamUsage> &usages, MonoTime now) {
  std::map<TeamId, TeamGrant> grants;
  if (!state.Config)
    return grants;
  for (const auto &[team, usage] : usages) {
    auto rule = state.Config->Teams.find(team);
    if (rule == state.Config->Teams.end() ||
        rule->second.RequestsPerSecond <= 0)
      continue;
    TeamRate rate{rule->second.RequestsPerSecond, rule->second.Burst};
    TeamLedger &ledger = state.Ledgers[team];
    noteHeldShares(state, team, ledger, now);
    recordTeamUsage(ledger, vm, usage, rate, now);
    grants[team] = grantFor(ledger, vm, rate, now);
  }
  return grants;
}

void applyTeamGrants(SteeringState &state,
                     const std::map<TeamId, TeamGrant> &grants, MonoTime now) {
  for (const auto &[team, grant] : grants) {
    TeamThrottle &throttle = state.Throttles[team];
    throttle.Fraction = grant.Fraction;
    throttle.FractionReceived = true;
    throttle.ReceivedAt = now;
    // VMs of earlier builds grant no share.
    if (grant.Share <= 0)
      continue;
    throttle.Share = grant.Share;
    setTeamTokens(state.LocalTeamLimits[team], grant.Tokens, now);
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
  for (const auto &[id, throttle] : state.Throttles)
    if (throttle.Share > 0 && now - throttle.LastArrivalAt < ReportAfterArrival)
      report.Shares[id] = throttle.Share;
  if (state.Fleet.StoreReachable)
    for (auto &[vm, peer] : state.Fleet.Peers)
      if (now - peer.ReceivedAt > SilentReserveTime)
        peer.Report.Shares.clear();
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
