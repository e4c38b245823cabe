#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

/// How much later each VM in the order of names writes a change.
constexpr Duration TurnDelay = Millis(600);

/// \returns how many live VMs come before this one.
int turnOf(const SteeringState &state, MonoTime now) {
  int turn = 0;
  for (const VmEntry &it : liveVms(state.Fleet, now))
    if (it.Vm < state.Fleet.Self.Vm)
      ++turn;
  return turn;
}

/// \returns whether a status for the current order was written.
bool statusWritten(const ServiceState &service) {
  return service.Status.Written > service.Order->Ordered;
}

RolloutState dueState(const ServiceState &service, Duration elapsed,
                      Duration delay) {
  if (service.CandidateBad)
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
  Duration delay = turnOf(state, now) * TurnDelay;
  for (auto &[id, service] : state.Services) {
    if (!rolloutRuns(service))
      continue;
    RolloutEvidence all = service.Evidence;
    addEvidence(all, peerEvidence(state.Fleet, id, service.Order->Ordered));
    if (candidateIsBad(all))
      service.CandidateBad = true;
    RolloutState due = dueState(service, now - service.OrderedAt, delay);
    if (due != RolloutState::None)
      changes.push_back(
          {id, due, service.Order->Version, service.Status.Written});
  }
  return changes;
}

} // namespace savorylb
