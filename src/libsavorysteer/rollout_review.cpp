#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Delay before a VM writes a status, for each live VM with a lower id.
/// Rollbacks are not delayed.
constexpr Duration WriterDelay = Millis(600);

/// \returns the number of live VMs that precede this one in order of VM id.
int writerPosition(const SteeringState &state, MonoTime now) {
  int position = 0;
  for (const VmEntry &it : liveVms(state.Fleet, now))
    if (it.Vm < state.Fleet.Self.Vm)
      ++position;
  return position;
}

/// \returns whether the status of the current order must be written again. The
///          order itself must be back before.
bool rewriteDue(const SteeringState &state, ServiceState &service,
                Duration delay, MonoTime now) {
  // Orders and statuses enter a new era independently.
  StoreEra era = std::max(state.DocumentsRevision.Era,
                          service.StoredStatus.StatusRevision.Era);
  bool orderStored = service.Order && service.Order->OrderRevision.Era == era;
  if (!orderStored || !service.StatusCoversOrder || !isStatusBehind(service)) {
    service.StatusBehindSince.reset();
    return false;
  }
  if (!service.StatusBehindSince)
    service.StatusBehindSince = now;
  return now - *service.StatusBehindSince >= delay;
}

RolloutState dueState(const ServiceState &service, Duration elapsed,
                      Duration delay) {
  if (service.NewVersionBad)
    return RolloutState::RolledBack;
  if (planRollout(elapsed - delay, service.Order->Window).Complete)
    return RolloutState::Completed;
  if (!service.StatusCoversOrder && elapsed >= delay)
    return RolloutState::Running;
  return RolloutState::None;
}

} // namespace

std::vector<StatusChange> reviewRollouts(SteeringState &state, MonoTime now) {
  std::vector<StatusChange> changes;
  Duration delay = writerPosition(state, now) * WriterDelay;
  for (auto &[id, service] : state.Services) {
    bool rewrite = rewriteDue(state, service, delay, now);
    if (!rolloutRuns(service)) {
      if (rewrite)
        changes.push_back({id,
                           service.Status.State,
                           service.Status.Version,
                           service.StoredStatus.StatusRevision,
                           {}});
      continue;
    }
    RolloutEvidence all = service.Evidence;
    addEvidence(all,
                peerEvidence(state.Fleet, id, service.Order->OrderRevision));
    if (newVersionIsBad(all))
      service.NewVersionBad = true;
    RolloutState due = dueState(service, now - service.OrderedAt, delay);
    if (due == RolloutState::None && rewrite)
      due = service.Status.State;
    if (due != RolloutState::None)
      changes.push_back({id, due, service.Order->Version,
                         service.StoredStatus.StatusRevision, std::move(all)});
  }
  return changes;
}

} // namespace savorylb
