// Applies configurations, targets, rollout orders and evacuations to the state.
#include "steering_state.h"

#include <algorithm>

namespace savorylb {
namespace {

RegionId regionOf(const SteeringState &state, const ZoneId &zone) {
  auto it = state.Zones.find(zone);
  return it == state.Zones.end() ? RegionId() : it->second;
}

/// Operators write lost documents again within this time after the store is
/// back.
constexpr Duration RewriteTime = Seconds(5);

bool sameOrder(const RolloutOrder &a, const RolloutOrder &b) {
  return a.Service == b.Service && a.Version == b.Version &&
         a.Window == b.Window;
}

int rank(RolloutState state) {
  return state == RolloutState::None      ? 0
         : state == RolloutState::Running ? 1
                                          : 2;
}

bool covers(const RolloutStatus &status, const RolloutOrder &order) {
  if (status.StatusRevision.Era == order.OrderRevision.Era)
    return status.StatusRevision > order.OrderRevision;
  // Revisions of two eras cannot be compared.
  return status.StatusRevision > order.OrderRevision &&
         status.Version == order.Version;
}

/// \returns whether a status of a newer era would undo the known status.
bool goesBack(const ServiceState &service, const RolloutStatus &status) {
  const RolloutStatus &known = service.Status;
  if (status.StatusRevision.Era == known.StatusRevision.Era ||
      (service.Order && !service.StatusCoversOrder))
    return false;
  if (status.Version == known.Version)
    return rank(status.State) < rank(known.State);
  return service.StatusCoversOrder &&
         status.StatusRevision.Number < known.StatusRevision.Number;
}

/// \returns whether the store had no change of the order's key at a revision
///          before it came back from a copy, as far as the known changes show.
///          Over several eras this cannot be known.
bool isWrittenInNewEra(const ServiceState &service, StorePosition at) {
  const StoreSpan &span = service.OrderUnchanged;
  StoreEra era = service.Order->OrderRevision.Era;
  return span.From.Era == era && span.To.Era == era &&
         at.Era.Value == era.Value + 1 && span.From.Number < at.Number &&
         at.Number <= span.To.Number;
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
    target.WarmupTokensAt = now;
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

bool applyRolloutOrder(SteeringState &state, const RolloutOrder &order,
                       MonoTime now) {
  ServiceState &service = state.Services[order.Service];
  if (service.Order) {
    StorePosition &known = service.Order->OrderRevision;
    if (known == order.OrderRevision)
      return false;
    bool newEra = known.Era < order.OrderRevision.Era;
    bool rewritten =
        service.OrderRestoredAt && now - *service.OrderRestoredAt < RewriteTime;
    if (sameOrder(*service.Order, order) && (newEra || rewritten)) {
      if (newEra)
        service.OrderRestoredAt = now;
      known = order.OrderRevision;
      return false;
    }
  }
  if (service.Status.State == RolloutState::RolledBack)
    service.RejectedVersions.insert(service.Status.Version);
  service.RejectedVersions.erase(order.Version);
  service.Order = order;
  if (covers(service.StoredStatus, order))
    service.Status = service.StoredStatus;
  service.StatusCoversOrder = covers(service.Status, order);
  service.OrderRestoredAt.reset();
  service.OrderedAt = now;
  service.NewVersionBad = false;
  service.Evidence.clear();
  service.NewVersionCredit =
      startTrial(state.Fleet.Self.Vm, order.OrderRevision, now);
  return true;
}

void noteOrderChange(SteeringState &state, const ServiceId &service,
                     StorePosition at, const StoreSpan &followed) {
  ServiceState &known = state.Services[service];
  known.OrderUnchanged = {std::max(known.OrderChangedAt, followed.From),
                          followed.To};
  known.OrderChangedAt = at;
}

bool isOutdatedOrder(const SteeringState &state, const RolloutOrder &order) {
  auto it = state.Services.find(order.Service);
  if (it == state.Services.end() || !it->second.Order)
    return false;
  const RolloutOrder &known = *it->second.Order;
  return !sameOrder(known, order) &&
         order.OrderRevision.Number < known.OrderRevision.Number &&
         !isWrittenInNewEra(it->second, order.OrderRevision);
}

void eraseRolloutOrder(SteeringState &state, const ServiceId &service) {
  state.Services[service].Order.reset();
}

void applyRolloutStatus(SteeringState &state, const ServiceId &service,
                        const RolloutStatus &status) {
  ServiceState &known = state.Services[service];
  if (status.StatusRevision < known.StoredStatus.StatusRevision)
    return;
  known.StoredStatus = status;
  if (goesBack(known, status))
    return;
  bool restored = known.StatusCoversOrder &&
                  status.Version == known.Status.Version &&
                  status.StatusRevision.Era != known.Status.StatusRevision.Era;
  known.Status = status;
  known.StatusCoversOrder =
      known.Order && (restored || covers(status, *known.Order));
}

void loseRolloutStatus(SteeringState &state, const ServiceId &service,
                       StorePosition at) {
  // The status that replaces it requires that the key does not exist.
  state.Services[service].StoredStatus = {
      RolloutState::None, VersionId(), {at.Era, Revision(0)}};
}

bool isStatusBehind(const ServiceState &service) {
  const RolloutStatus &stored = service.StoredStatus;
  return stored.Version != service.Status.Version ||
         rank(stored.State) < rank(service.Status.State) ||
         stored.StatusRevision < service.Order->OrderRevision;
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
