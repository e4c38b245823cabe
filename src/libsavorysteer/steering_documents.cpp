// Applies configurations, targets, rollout orders and evacuations to the state.
#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

RegionId regionOf(const SteeringState &state, const ZoneId &zone) {
  auto it = state.Zones.find(zone);
  return it == state.Zones.end() ? RegionId() : it->second;
}

} // namespace

bool applyConfig(SteeringState &state, SteerConfig config) {
  if (state.Config && state.Config->Version >= config.Version)
    return false;
  state.SplitCredit.clear();
  state.Config = std::make_shared<const SteerConfig>(std::move(config));
  return true;
}

void updateTarget(SteeringState &state, const TargetEntry &entry,
                  MonoTime now) {
  auto [it, added] = state.Targets.try_emplace(entry.Id);
  TargetState &target = it->second;
  if (added) {
    target.Entry = entry;
    restoreNotices(state, target);
    if (entry.WarmupLeft > Millis::zero())
      target.ColdUntil = now + entry.WarmupLeft;
  } else {
    updateEntry(target, entry, now);
  }
  target.Region = regionOf(state, entry.Zone);
}

void eraseTarget(SteeringState &state, const TargetId &target, MonoTime now) {
  auto found = state.Targets.find(target);
  if (found == state.Targets.end())
    return;
  retainNotices(state, found->second, now);
  state.Targets.erase(found);
}

void applyRolloutOrder(SteeringState &state, const RolloutOrder &order,
                       MonoTime now) {
  ServiceState &service = state.Services[order.Service];
  if (service.Order && service.Order->OrderRevision == order.OrderRevision)
    return;
  service.Order = order;
  service.OrderedAt = now;
  service.NewVersionBad = false;
  service.Evidence.clear();
  service.NewVersionCredit = 0;
}

void eraseRolloutOrder(SteeringState &state, const ServiceId &service) {
  state.Services[service].Order.reset();
}

void applyRolloutStatus(SteeringState &state, const ServiceId &service,
                        const RolloutStatus &status) {
  ServiceState &known = state.Services[service];
  if (status.StatusRevision < known.Status.StatusRevision)
    return;
  known.Status = status;
}

void startEvacuation(SteeringState &state, const ZoneId &zone) {
  state.Evacuated.insert(zone);
}

void endEvacuation(SteeringState &state, const ZoneId &zone, MonoTime now) {
  if (!state.Evacuated.erase(zone))
    return;
  for (auto &[id, target] : state.Targets) {
    if (target.Entry.Zone != zone || !state.Config)
      continue;
    auto rule = state.Config->Services.find(target.Entry.Service);
    if (rule != state.Config->Services.end())
      target.ColdUntil = std::max(target.ColdUntil, now + rule->second.Warmup);
  }
}

} // namespace savorylb
