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

/// Notices a pause of the process; the caller holds the lock.
void tickOwnLease(MembershipState &state, MonoTime now) {
  MonoTime before = state.Own.LastTick;
  MonoTime noticedBefore = state.Own.PauseNoticedAt;
  detectPause(state.Own, now, state.Times);
  if (state.Own.PauseNoticedAt == noticedBefore)
    return;
  restartGracePeriod(state.Grants, now);
  incrementCounter("pauses");
  logEvent(EventCode::PauseNoticed, {{"gap_us", (now - before).count()}});
}

} // namespace

bool mayUseOwned(Daemon &daemon) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  MonoTime now = monoNow();
  tickOwnLease(state, now);
  return state.Member && holdsLease(state.Own, now, state.Times);
}

bool isHomeOf(Daemon &daemon, int partition) {
  if (!mayUseOwned(daemon))
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
      state.DocIndex = storeIndex;
    state.Member = isMember(daemon, doc);
    resolveChange(state.Pending, state.Grants, state.Own, doc, daemon.Conf.Vm,
                  daemon.SelfIncarnation);
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
    rate = usableRate(state.Pending, state.Doc, daemon.Conf.Vm,
                      daemon.SelfIncarnation);
  }
  applyTargets(daemon, owned);
  applyRates(daemon, rate);
  applyLinks(daemon, rate);
  setGauge("owned_targets", static_cast<double>(owned.size()));
  setGauge("owned_rate_ppm", static_cast<double>(rate.Value));
}

bool handleRenew(Daemon &daemon, const VmId &holder, const Incarnation &life,
                 const Incarnation &successorLife) {
  if (successorLife != daemon.SelfIncarnation)
    return false;
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  return grantLease(state.Grants, holder, life, monoNow(), state.Times);
}

} // namespace savorylb
