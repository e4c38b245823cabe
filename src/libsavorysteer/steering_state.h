#ifndef SAVORYLB_STEERING_STATE_H
#define SAVORYLB_STEERING_STATE_H

#include "fleet_view.h"
#include "object_replicas.h"
#include "overload_control.h"
#include "placement_policy.h"
#include "planned_stop.h"
#include "processing_time.h"
#include "region_shares.h"
#include "retry_window.h"
#include "rollout_stage.h"
#include "rollout_trial.h"
#include "route_statistics.h"
#include "slot_reservation.h"
#include "steer_config.h"
#include "target_availability.h"
#include "target_state.h"
#include "team_ledger.h"
#include "team_limit.h"
#include "usage_tracking.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace savorylb {

/// Limits set by the deployment.
struct SteeringBounds {
  RetryLimits Retries;
  BadVersionLimits BadVersion;
  /// Targets of a region that should have an object cached; 1 for no replicas.
  int ObjectReplicas = 1;
  /// Objects of one service that a target is expected to keep cached.
  int CachedObjects = 12;
  /// VMs share the loads of targets.
  bool SharedLoads = false;
  /// Less urgent requests leave slots to more urgent ones, and requests that
  /// would be late because of queues are refused.
  bool OverloadControl = false;
};

/// The positions after From up to To.
struct StoreSpan {
  StorePosition From;
  StorePosition To;
};

/// This VM's state for one service.
struct ServiceState {
  RetryWindow Retries;
  /// Version used while no rollout has been recorded; empty until targets are
  /// known.
  VersionId DefaultVersion;
  std::optional<RolloutOrder> Order;
  /// Position of the last known change of the order's key.
  StorePosition OrderChangedAt;
  /// Positions between which this VM knows that the key did not change: from
  /// the last change before that of OrderChangedAt. Empty if the eras differ.
  StoreSpan OrderUnchanged;
  /// Time of the order, as far as known to this VM.
  MonoTime OrderedAt{};
  /// When the order was first seen in a newer era of the store.
  std::optional<MonoTime> OrderRestoredAt;
  /// The newest known status.
  RolloutStatus Status;
  /// Status is that of Order, not of an earlier one.
  bool StatusCoversOrder = false;
  /// The status in the store, which is behind Status after the store came back
  /// from an older copy.
  RolloutStatus StoredStatus;
  /// When StoredStatus was first seen to be behind; unset while it is not.
  std::optional<MonoTime> StatusBehindSince;
  /// This VM or another one judged the new version bad.
  bool NewVersionBad = false;
  /// Versions that were rolled back. Their targets may still run.
  std::set<VersionId> RejectedVersions;
  RolloutEvidence Evidence;
  std::map<RouteId, ProcessingTime> ProcessingTimes;
  /// Recent requests for objects, if objects have replicas.
  ObjectDemands Demands;
  /// Mean time for which a request of any route holds a slot; 0 if not known.
  double SlotMs = 0;
  OverloadState Overload;
  /// Recent requests by priority, while overload control is on.
  PriorityDemands Priorities;
  /// Mean size of a response in bytes.
  std::map<RouteId, double> ResponseBytes;
  /// Requests that this VM may send to the new version.
  TrialCredit NewVersionCredit;
  std::map<RouteId, RouteStatistics> Statistics;
};

/// The complete state from which requests are steered.
struct SteeringState {
  SteeringBounds Bounds;
  std::map<ZoneId, RegionId> Zones;
  /// Set from the stop signal on.
  std::optional<PlannedStop> Stop;
  std::shared_ptr<const SteerConfig> Config;
  /// Revision of the newest operators' document.
  StorePosition DocumentsRevision;
  std::map<TargetId, TargetState> Targets;
  /// Notices of targets whose entries were removed.
  std::map<TargetId, RetainedNotices> Retained;
  std::map<ServiceId, ServiceState> Services;
  /// This VM's own token buckets, used while a ledger's owner is unreachable,
  /// and the demands.
  std::map<TeamId, TeamLimit> LocalTeamLimits;
  /// Admission state of each team, set by the owners of the teams' ledgers.
  std::map<TeamId, TeamThrottle> Throttles;
  /// The ledgers owned by this VM.
  std::map<TeamId, TeamLedger> Ledgers;
  /// Zones whose targets receive no requests.
  std::set<ZoneId> Evacuated;
  FleetView Fleet;
  /// Smoothed round trip to the targets of a zone.
  std::map<ZoneId, double> RoundTripMs;
  /// Regions in which this VM's requests run.
  RegionShares Regions;
  /// Breaks ties between targets.
  std::minstd_rand TieBreaker;
  /// Set if this deployment reports usage.
  std::optional<UsageTracking> Usage;
  /// Requests that wait in this VM for an unreserved slot.
  int Deferred = 0;
  /// Credit of each split of a route for weighted round robin.
  std::map<RouteId, std::map<ServiceId, double>> SplitCredit;
};

/// One caller's request and the decisions made on it.
struct SteeredRequest {
  std::shared_ptr<const SteerConfig> Config;
  const RouteRule *Route = nullptr;
  /// Empty if the request has no team.
  TeamId Team;
  /// The team's rule in Config; null if the configuration has none for it.
  const TeamRule *MatchedTeamRule = nullptr;
  ServiceId Service;
  std::string Object;
  std::int64_t BodyBytes = 0;
  MonoTime ArrivedAt{};
  MonoTime Deadline{};
  /// Whether the new version of a rollout serves it.
  bool UsesNewVersion = false;
  /// The request was counted in the demands by which others are placed.
  bool Counted = false;
  /// Whether UsesNewVersion was decided.
  bool VersionChosen = false;
  std::vector<TargetId> Tried;
};

/// The decision whether a request is admitted.
struct Admission {
  /// 0 if it is admitted, otherwise the HTTP status of the refusal.
  int Status = 0;
  const char *Reason = "";
  Duration RetryAfter{0};
};

/// Returns to the team's limit what an admitted request took from it, because
/// no target executed the request.
void refundAdmission(SteeringState &state, const SteeredRequest &request);

/// Takes the due reports of teams' usage. Reports for the ledgers of this VM
/// are applied immediately.
/// \returns the other reports, by the VM that owns the ledgers.
std::map<VmId, std::map<TeamId, TeamUsage>>
takeTeamReports(SteeringState &state, MonoTime now);

/// Applies the report of a VM to the ledgers of this VM.
/// \returns what the VM may admit of each team's requests.
std::map<TeamId, TeamGrant>
applyTeamReport(SteeringState &state, const VmId &vm,
                const std::map<TeamId, TeamUsage> &usages, MonoTime now);

/// Applies the response to a report.
void applyTeamGrants(SteeringState &state,
                     const std::map<TeamId, TeamGrant> &grants, MonoTime now);

/// Decides by configuration, tenant key and team limit whether a request is
/// admitted.
/// \param state takes a token from the team's limit.
/// \param request receives route, team and service.
/// \param host the request's host without a port.
/// \param key the caller's tenant key; empty if there is none.
Admission admitRequest(SteeringState &state, SteeredRequest &request,
                       const std::string &host, const std::string &path,
                       const std::string &key, MonoTime now);

/// Chooses a target for an admitted request.
/// \param request stores the choice of version, which holds for its retries.
PlacementChoice chooseTarget(SteeringState &state, SteeredRequest &request,
                             MonoTime now);

/// Records that a request is sent to a target.
void recordSend(SteeringState &state, SteeredRequest &request,
                TargetState &target, MonoTime now);

/// Outcome of one send.
struct SendOutcome {
  TargetResult Result = TargetResult::Answered;
  /// HTTP status of the response; 0 without one.
  int Status = 0;
  std::optional<TargetLoad> Load;
  /// Size of the response's body.
  std::size_t ResponseBytes = 0;
  /// Time from sending to the end.
  Duration Took{0};
  double ExpectedMs = 0;
  double ExpectedUncachedMs = 0;
  MonoTime SentAt{};
  /// VMs share the loads of targets.
  bool LoadsShared = false;
};

/// Records the outcome of a send.
void recordOutcome(SteeringState &state, const SteeredRequest &request,
                   const TargetId &target, const SendOutcome &outcome,
                   MonoTime now);

/// Counts a retry if the limits allow it.
/// \returns whether the request may be sent again.
bool mayRetry(SteeringState &state, const SteeredRequest &request,
              MonoTime now);

/// Records how long opening a connection to a target in a zone took.
void recordConnectTime(SteeringState &state, const ZoneId &zone, Duration took);

/// Applies a configuration if it is newer than the current one.
/// \returns whether it was applied.
bool applyConfig(SteeringState &state, SteerConfig config);

/// Adds a target or replaces its entry; the caller passes entries in order. See
/// updateEntry() for what a restart resets.
void updateTarget(SteeringState &state, const TargetEntry &entry, MonoTime now);
/// Removes a target; its notices are retained in case its entry returns.
void eraseTarget(SteeringState &state, const TargetId &target, MonoTime now);

/// Applies an order to roll out a version. An order of the same content that
/// is seen in a newer era of the store, or is written again shortly after, is
/// the known one: the rollout goes on.
/// \returns whether it is a new order.
bool applyRolloutOrder(SteeringState &state, const RolloutOrder &order,
                       MonoTime now);
/// Records a change of the key of a service's order; called before the change
/// is applied.
/// \param followed positions over which this VM has followed all changes of
///        operators' documents, up to the one before this change was seen.
void noteOrderChange(SteeringState &state, const ServiceId &service,
                     StorePosition at, const StoreSpan &followed);
/// \returns whether an order may be older than the known one. Revisions up to
///          the store's copy name the same writes in both eras, so an order at
///          a revision at which the key was not written in the older era was
///          written in the new one.
/// \param order an order that the store shows after it came back from an older
///        copy.
bool isOutdatedOrder(const SteeringState &state, const RolloutOrder &order);
void eraseRolloutOrder(SteeringState &state, const ServiceId &service);
/// Applies a status of the store. One that is behind the known status, which a
/// store shows after it came back from an older copy, does not undo it.
void applyRolloutStatus(SteeringState &state, const ServiceId &service,
                        const RolloutStatus &status);
/// Records that the store has lost the status of a service.
/// \param at the position at which the loss was seen.
void loseRolloutStatus(SteeringState &state, const ServiceId &service,
                       StorePosition at);

void startEvacuation(SteeringState &state, const ZoneId &zone);
/// Ends an evacuation. The zone's targets count as cold afterwards.
void endEvacuation(SteeringState &state, const ZoneId &zone, MonoTime now);

/// \returns whether a rollout of the service is in progress.
bool rolloutRuns(const ServiceState &service);

/// \returns whether the store's status of the present order is older than the
///          known one, or missing.
bool isStatusBehind(const ServiceState &service);

/// A due change of a rollout's status in the store.
struct StatusChange {
  ServiceId Service;
  RolloutState State = RolloutState::None;
  VersionId Version;
  /// Revision of the status that it replaces; 0 if there is none.
  StorePosition ReplacedRevision;
  /// The counts of all VMs on which a RolledBack was decided.
  RolloutEvidence Evidence;
};

/// Judges all rollouts by the evidence of all VMs.
/// \param state stores the verdicts.
/// \returns the changes that this VM should write now. Running and Completed
///          are delayed for each live VM with a lower id, so that usually only
///          one VM writes them; a rollback is not delayed. A status that the
///          store has lost is written again, with the same delay.
std::vector<StatusChange> reviewRollouts(SteeringState &state, MonoTime now);

/// Updates the demands and creates the report to the other VMs.
PeerReport makePeerReport(SteeringState &state, MonoTime now);

/// Applies another VM's report; ignores this VM's own.
void applyPeerReport(SteeringState &state, const PeerReport &report,
                     MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_STEERING_STATE_H
