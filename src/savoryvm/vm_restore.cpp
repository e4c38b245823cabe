// The part of VmDaemon that handles a store that came back from an older copy
// of itself.
#include "documents.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "vm_daemon.h"

namespace savorylb {
namespace {

/// Operators write lost documents again within about 3 s after the store is
/// back. A VM may see the loss up to one second later than others.
constexpr Duration OperatorRewriteGrace = Millis(4000);

/// \returns how long a document that the store lost is held.
Duration holdTime(const std::string &key) {
  // VMs register again as soon as they see the new era.
  bool vm = platform::parseStoreKey(key).Kind == platform::DocumentKind::Vm;
  return vm ? LeaseLapseGrace : OperatorRewriteGrace;
}

void logOutdated(const platform::StoreItem &item) {
  logEvent(EventCode::DocumentOutdated,
           {{"key", item.Key},
            {"revision", item.ModRevision.Number.Value},
            {"era", item.ModRevision.Era.Value},
            {"removed", item.Removed}});
}

} // namespace

void VmDaemon::onStoreEra(StoreEra era, EraSource source) {
  bool confirmed = source == EraSource::Store;
  if (era <= Era || (!confirmed && era <= AnnouncedEra))
    return;
  if (era != AnnouncedEra && isListed(OperatorSync.mirror())) {
    EraEnteredAt = monoNow();
    extendHolds(EraEnteredAt);
    if (!KnownBeforeEra)
      KnownBeforeEra = OperatorSync.mirror().KnownRevision;
  }
  (confirmed ? Era : AnnouncedEra) = era;
  // Deferred, since the caller has not processed its answer yet.
  asio::post(Io, [this, era] {
    for (StoreSync *it : {&OperatorSync, &TargetSync, &SystemSync})
      it->enterEra(era);
    Registration.enterEra(era);
  });
}

/// What is held since an earlier restore may be written again only now.
void VmDaemon::extendHolds(MonoTime now) {
  for (auto &[key, held] : HeldDocuments)
    held.Until = std::max(held.Until, now + holdTime(key));
  for (auto &[target, until] : PendingRemovals)
    until = std::max(until, now + LeaseLapseGrace);
}

/// \returns when the last outage of the store ended. It may have been too short
///          to break a watch, which then tells at once what lapsed in it.
MonoTime VmDaemon::storeAwayUntil() const {
  return std::max(StoreAwayUntil, Contact->BackAt.value_or(MonoTime()));
}

/// While the process stands still, it does not hear what is written again.
void VmDaemon::extendHoldsBy(Duration pause) {
  for (auto &[key, held] : HeldDocuments)
    held.Until += pause;
  for (auto &[target, until] : PendingRemovals)
    until += pause;
  StoreAwayUntil += pause;
}

void VmDaemon::logNewEra() {
  const StorePosition &known = OperatorSync.mirror().KnownRevision;
  if (!KnownBeforeEra || known.Era <= KnownBeforeEra->Era)
    return;
  logEvent(EventCode::StoreRestored, {{"old_era", KnownBeforeEra->Era.Value},
                                      {"era", known.Era.Value},
                                      {"known", KnownBeforeEra->Number.Value},
                                      {"revision", known.Number.Value}});
  KnownBeforeEra.reset();
}

bool VmDaemon::holdDocument(const platform::StoreItem &item) {
  HeldDocuments.erase(item.Key);
  if (!item.FromCopy)
    return false;
  platform::StoreKey key = platform::parseStoreKey(item.Key);
  bool held = false;
  switch (key.Kind) {
  case platform::DocumentKind::Evacuation:
    held = item.Removed;
    break;
  case platform::DocumentKind::RolloutOrder: {
    auto order = platform::readRolloutOrder(ServiceId(key.Subject), item.Value);
    if (order)
      order.value().OrderRevision = item.ModRevision;
    held = item.Removed || (order && isOutdatedOrder(State, order.value()));
    break;
  }
  case platform::DocumentKind::Vm:
    held = item.Removed;
    break;
  default:
    break;
  }
  if (!held)
    return false;
  logOutdated(item);
  HeldDocuments[item.Key] = {item, monoNow() + holdTime(item.Key)};
  HeldDocuments[item.Key].Item.FromCopy = false;
  return true;
}

void VmDaemon::applyHeldDocuments(MonoTime now) {
  // Nothing can be written again while the store fails.
  if (now - storeAwayUntil() < LeaseLapseGrace)
    return;
  for (auto it = HeldDocuments.begin(); it != HeldDocuments.end();) {
    if (now < it->second.Until) {
      ++it;
      continue;
    }
    platform::StoreItem item = it->second.Item;
    it = HeldDocuments.erase(it);
    platform::StoreKey key = platform::parseStoreKey(item.Key);
    if (key.Kind == platform::DocumentKind::Vm)
      onVmEntry(item, VmId(key.Subject));
    else
      onOperatorChange(item);
  }
}

bool VmDaemon::isOutdatedTarget(const platform::StoreItem &item,
                                const TargetEntry &entry, MonoTime now) const {
  if (!item.FromCopy)
    return false;
  auto known = State.Targets.find(entry.Id);
  const TargetEntry *present =
      known == State.Targets.end() ? nullptr : &known->second.Entry;
  bool outdated = isOutdated(EndedStarts, present, entry, now);
  if (outdated)
    logOutdated(item);
  return outdated;
}

bool VmDaemon::isOutdatedVm(const platform::StoreItem &item,
                            const VmEntry &entry, MonoTime now) const {
  auto departed = DepartedVms.find(entry.Vm);
  if (!item.FromCopy || departed == DepartedVms.end() ||
      departed->second != entry.StartId)
    return false;
  auto peer = State.Fleet.Peers.find(entry.Vm);
  bool heard = peer != State.Fleet.Peers.end() &&
               peer->second.Report.Vm.StartId == entry.StartId &&
               now - peer->second.ReceivedAt <= PeerTimeout;
  if (!heard)
    logOutdated(item);
  return !heard;
}

} // namespace savorylb
