#include "membership_state.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <algorithm>
#include <set>

namespace savorylb {
namespace {

bool isMember(const Daemon &daemon, const ZoneDocument &doc) {
  auto it = doc.Members.find(daemon.Conf.Vm);
  return it != doc.Members.end() &&
         it->second.VmIncarnation == daemon.SelfIncarnation;
}

std::set<int> partitionsOf(const Daemon &daemon, const ZoneDocument &doc) {
  std::vector<int> owned =
      ownedPartitions(doc, daemon.Conf.Vm, daemon.SelfIncarnation);
  return {owned.begin(), owned.end()};
}

/// Detects a pause of the process, restarts the grace period of the leases
/// granted to others, and reports the pause; the caller holds the lock.
void checkForPause(MembershipState &state, MonoTime now) {
  MonoTime before = state.OwnLease.LastTick;
  MonoTime noticedBefore = state.OwnLease.PauseDetectedAt;
  detectPause(state.OwnLease, now, state.Times);
  if (state.OwnLease.PauseDetectedAt == noticedBefore)
    return;
  restartGracePeriod(state.Grants, now);
  incrementCounter("pauses");
  logEvent(EventCode::PauseDetected, {{"gap_us", (now - before).count()}});
}

} // namespace

bool mayUseOwnedResources(Daemon &daemon) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  MonoTime now = monoNow();
  checkForPause(state, now);
  return state.IsMember && holdsLease(state.OwnLease, now, state.Times);
}

bool isHomeOf(Daemon &daemon, int partition) {
  if (!mayUseOwnedResources(daemon))
    return false;
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  std::vector<int> owned = usablePartitions(
      state.Pending, state.Doc, daemon.Conf.Vm, daemon.SelfIncarnation);
  return std::find(owned.begin(), owned.end(), partition) != owned.end();
}

void applyZoneDocument(Daemon &daemon, const ZoneDocument &doc,
                       std::uint64_t storeIndex) {
  MembershipState &state = daemon.Membership;
  ZoneDocument previous;
  std::set<int> before;
  {
    std::lock_guard<std::mutex> guard(state.Lock);
    previous = state.Doc;
    before = partitionsOf(daemon, previous);
  }
  adoptPartitions(daemon, doc, previous);
  {
    std::lock_guard<std::mutex> guard(state.Lock);
    state.Doc = doc;
    if (storeIndex != 0)
      state.DocStoreIndex = storeIndex;
    state.IsMember = isMember(daemon, doc);
    resolveChange(state.Pending, state.Grants, state.OwnLease, doc,
                  daemon.Conf.Vm, daemon.SelfIncarnation);
  }
  logEvent(EventCode::OwnershipChanged,
           {{"zone", doc.Zone.Value},
            {"revision", doc.Rev.Value},
            {"writer", doc.Writer.Value},
            {"members", static_cast<std::int64_t>(doc.Members.size())}});
  applyPartitions(daemon, before, doc);
  applyOwnership(daemon);
}

void applyOwnership(Daemon &daemon) {
  MembershipState &state = daemon.Membership;
  std::set<TargetId> owned;
  Ppm rate;
  {
    std::lock_guard<std::mutex> guard(state.Lock);
    std::vector<TargetId> usable = usableTargets(
        state.Pending, state.Doc, daemon.Conf.Vm, daemon.SelfIncarnation);
    owned.insert(usable.begin(), usable.end());
    rate = usableRateShare(state.Pending, state.Doc, daemon.Conf.Vm,
                           daemon.SelfIncarnation);
  }
  applyTargets(daemon, owned);
  applyRates(daemon, rate);
  applyLinks(daemon, rate);
  setGauge("owned_targets", static_cast<double>(owned.size()));
  setGauge("owned_rate_ppm", static_cast<double>(rate.Value));
}

bool handleRenew(Daemon &daemon, const VmId &holder,
                 const Incarnation &incarnation,
                 const Incarnation &successorIncarnation) {
  if (successorIncarnation != daemon.SelfIncarnation)
    return false;
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  return grantLease(state.Grants, holder, incarnation, monoNow(), state.Times);
}

} // namespace savorylb
