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

/// \returns whether a status was written for the current order.
bool statusWritten(const ServiceState &service) {
  return service.Status.StatusRevision > service.Order->OrderRevision;
}

RolloutState dueState(const ServiceState &service, Duration elapsed,
                      Duration delay) {
  if (service.NewVersionBad)
    return RolloutState::RolledBack;
  if (planRollout(elapsed - delay, service.Order->Window).Complete)
    return RolloutState::Completed;
  if (!statusWritten(service) && elapsed >= delay)
    return RolloutState::Running;
  return RolloutState::None;
}

} // namespace

std::vector<StatusChange> reviewRollouts(SteeringState &state, MonoTime now) {
  std::vector<StatusChange> changes;
  Duration delay = writerPosition(state, now) * WriterDelay;
  for (auto &[id, service] : state.Services) {
    if (!rolloutRuns(service))
      continue;
    RolloutEvidence all = service.Evidence;
    addEvidence(all,
                peerEvidence(state.Fleet, id, service.Order->OrderRevision));
    if (newVersionIsBad(all))
      service.NewVersionBad = true;
    RolloutState due = dueState(service, now - service.OrderedAt, delay);
    if (due != RolloutState::None)
      changes.push_back(
          {id, due, service.Order->Version, service.Status.StatusRevision});
  }
  return changes;
}

} // namespace savorylb
