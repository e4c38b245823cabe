#ifndef SAVORYLB_STEERING_STATE_H
#define SAVORYLB_STEERING_STATE_H

#include "fleet_view.h"
#include "placement_policy.h"
#include "region_shares.h"
#include "repeat_allowance.h"
#include "rollout_stage.h"
#include "steer_config.h"
#include "target_state.h"
#include "team_ledger.h"
#include "team_limit.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace savorylb {

/// Bounds that the deployment sets.
struct SteeringBounds {
  RepeatBounds Repeats;
  /// Share of a service's requests that a bad version may get.
  double TrialShare = UsualTrialBound;
};

/// What this VM knows of one service.
struct ServiceState {
  RepeatAllowance Repeats;
  /// Version that is used without a rollout; empty until targets are known.
  VersionId Usual;
  std::optional<RolloutOrder> Order;
  MonoTime OrderedAt{};
  RolloutStatus Status;
  /// This VM or another one found the new version bad.
  bool CandidateBad = false;
  RolloutEvidence Evidence;
  /// Mean time that a target works on a request, by route.
  struct WorkTime {
    double CachedMs = 0;
    double UncachedMs = 0;
  };
  std::map<RouteId, WorkTime> Work;
  /// Part of the requests owed to the new version, carried on.
  double CandidateCredit = 0;
};

/// All that the decisions on requests are made from.
struct SteeringState {
  SteeringBounds Bounds;
  std::map<ZoneId, RegionId> Zones;
  std::shared_ptr<const SteerConfig> Config;
  /// Revision of the newest operators' document.
  Revision Documents;
  std::map<TargetId, TargetState> Targets;
  std::map<ServiceId, ServiceState> Services;
  std::map<TeamId, TeamLimit> Teams;
  /// What the VMs that keep the teams' ledgers said.
  std::map<TeamId, TeamGate> Gates;
  /// The ledgers that this VM keeps.
  std::map<TeamId, TeamLedger> Ledgers;
  /// Zones whose targets get nothing.
  std::set<ZoneId> Evacuated;
  FleetView Fleet;
  /// Round trip to targets of a zone.
  std::map<ZoneId, double> RoundTripMs;
  /// Where the requests of this VM run.
  RegionShares Regions;
  /// Credit of each split of a route, so that the parts are kept exactly.
  std::map<RouteId, std::map<ServiceId, double>> SplitCredit;
};

/// One caller's request on its way through the decisions.
struct SteeredRequest {
  std::shared_ptr<const SteerConfig> Config;
  const RouteRule *Route = nullptr;
  /// Empty when the request has no team.
  TeamId Team;
  const TeamRule *TeamLimits = nullptr;
  ServiceId Service;
  std::string Object;
  std::int64_t BodyBytes = 0;
  MonoTime ArrivedAt{};
  MonoTime Deadline{};
  /// Whether the new version of a rollout takes it.
  bool Candidate = false;
  bool CandidateDrawn = false;
  std::vector<TargetId> Tried;
};

/// Whether a request may be placed.
struct Admission {
  /// 0 when it may, else the status of the refusal.
  int Status = 0;
  const char *Reason = "";
  Duration RetryAfter{0};
};

/// Gives back what an admitted request took from its team's limit, because no
/// target ran it.
void returnAdmission(SteeringState &state, const SteeredRequest &request);

/// Reports of teams' uses for the VMs that keep their ledgers. Those of the
/// ledgers that this VM keeps are taken in at once.
std::map<VmId, std::map<TeamId, TeamUse>> takeTeamReports(SteeringState &state,
                                                          MonoTime now);

/// Takes in another VM's report.
/// \returns the part of each team's requests that it may admit.
std::map<TeamId, double> adoptTeamReport(SteeringState &state, const VmId &vm,
                                         const std::map<TeamId, TeamUse> &uses,
                                         MonoTime now);

/// Takes in the answer to a report.
void adoptTeamParts(SteeringState &state, const std::map<TeamId, double> &parts,
                    MonoTime now);

/// Decides by configuration, key and team limit.
/// \param state the state; tokens are taken.
/// \param request gets route, team and service.
/// \param host the request's host without a port.
/// \param path the request's path.
/// \param key the caller's key, empty when there is none.
/// \param now the current time.
Admission admitRequest(SteeringState &state, SteeredRequest &request,
                       const std::string &host, const std::string &path,
                       const std::string &key, MonoTime now);

/// Chooses a target for an admitted request.
/// \param state the state.
/// \param request the request; the choice of version is kept in it.
/// \param now the current time.
PlacementChoice chooseTarget(SteeringState &state, SteeredRequest &request,
                             MonoTime now);

/// Notes that a request is sent to a target.
void noteSent(SteeringState &state, SteeredRequest &request,
              TargetState &target, MonoTime now);

/// Outcome of one send.
struct SendOutcome {
  TargetResult Result = TargetResult::Answered;
  /// Of the response; 0 without one.
  int Status = 0;
  std::optional<TargetLoad> Load;
  /// From sending to the end.
  Duration Took{0};
  double ExpectedMs = 0;
  double ExpectedUncachedMs = 0;
  MonoTime SentAt{};
};

/// Notes how a send ended.
void noteOutcome(SteeringState &state, const SteeredRequest &request,
                 const TargetId &target, const SendOutcome &outcome,
                 MonoTime now);

/// \returns whether a request may be sent again; takes from the allowance.
bool mayRepeat(SteeringState &state, const SteeredRequest &request,
               MonoTime now);

/// Notes how long a connection to a target's zone took to open.
void noteConnectTime(SteeringState &state, const ZoneId &zone, Duration took);

/// Puts a configuration in force unless a newer one is.
/// \returns whether it is in force now.
bool adoptConfig(SteeringState &state, SteerConfig config);

/// Adds a target or takes in its newer entry.
void adoptTarget(SteeringState &state, const TargetEntry &entry, MonoTime now);
void dropTarget(SteeringState &state, const TargetId &target);

void adoptOrder(SteeringState &state, const RolloutOrder &order, MonoTime now);
void dropOrder(SteeringState &state, const ServiceId &service);
void adoptStatus(SteeringState &state, const ServiceId &service,
                 const RolloutStatus &status);

void startEvacuation(SteeringState &state, const ZoneId &zone);
/// Targets of a zone that is used again count as cold.
void endEvacuation(SteeringState &state, const ZoneId &zone, MonoTime now);

/// \returns whether a rollout of the service is going on.
bool rolloutRuns(const ServiceState &service);

/// A change of a rollout's recorded state that is due.
struct StatusChange {
  ServiceId Service;
  RolloutState State = RolloutState::None;
  VersionId Version;
  /// Revision of the status that it replaces; 0 when there is none.
  Revision Replaces;
};

/// Looks at all rollouts with the evidence of all VMs.
/// \param state the state; verdicts are kept in it.
/// \param now the current time.
/// \returns the changes that this VM should write now. VMs that come later in
///          the order of names wait, so that mostly one of them writes.
std::vector<StatusChange> reviewRollouts(SteeringState &state, MonoTime now);

/// Brings the demands up to date and fills what other VMs are told.
PeerReport makeReport(SteeringState &state, MonoTime now);

/// Takes in what another VM tells.
void adoptReport(SteeringState &state, const PeerReport &report, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_STEERING_STATE_H
