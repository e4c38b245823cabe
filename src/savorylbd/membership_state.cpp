#include "membership_state.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

namespace savorylb {
namespace {

bool isMember(const Daemon &daemon, const ZoneDocument &doc) {
  auto it = doc.Members.find(daemon.Conf.Vm);
  return it != doc.Members.end() && it->second.Life == daemon.Life;
}

const ZoneMember *findMember(const ZoneDocument &doc, const VmId &vm) {
  auto it = doc.Members.find(vm);
  return it == doc.Members.end() ? nullptr : &it->second;
}

bool successorDiffers(const ZoneDocument &a, const ZoneDocument &b,
                      const VmId &vm) {
  const ZoneMember *x = findMember(a, vm);
  const ZoneMember *y = findMember(b, vm);
  return !x || !y || x->Successor != y->Successor ||
         x->SuccessorLife != y->SuccessorLife;
}

std::set<int> partitionsOf(const Daemon &daemon, const ZoneDocument &doc) {
  std::vector<int> owned = ownedPartitions(doc, daemon.Conf.Vm, daemon.Life);
  return {owned.begin(), owned.end()};
}

void confirmOwnLease(Daemon &daemon, const ZoneDocument &previous) {
  MembershipState &state = daemon.Membership;
  bool wasMember = state.Member;
  state.Member = isMember(daemon, state.Doc);
  if (!state.Member) {
    state.Own.Lost = wasMember;
    return;
  }
  const ZoneMember *self = findMember(state.Doc, daemon.Conf.Vm);
  confirmLease(state.Own, !self->Successor.empty(),
               successorDiffers(previous, state.Doc, daemon.Conf.Vm));
}

} // namespace

bool mayUseOwned(Daemon &daemon) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  MonoTime now = monoNow();
  tickLease(state.Own, now, state.Times);
  return state.Member && holdsLease(state.Own, now, state.Times);
}

bool isHomeOf(Daemon &daemon, int partition) {
  if (!mayUseOwned(daemon))
    return false;
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  auto index = static_cast<std::size_t>(partition);
  return index < state.Doc.Partitions.size() &&
         state.Doc.Partitions[index] == daemon.Conf.Vm &&
         state.ReleasingPartitions.count(partition) == 0;
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
    state.Doc = doc;
    if (storeIndex != 0)
      state.DocIndex = storeIndex;
    confirmOwnLease(daemon, previous);
  }
  logEvent(EventCode::OwnershipChanged,
           {{"zone", doc.Zone.Value},
            {"revision", doc.Rev.Value},
            {"writer", doc.Writer.Value},
            {"members", static_cast<std::int64_t>(doc.Members.size())}});
  applyPartitions(daemon, before, doc, previous);
  applyOwnership(daemon);
}

void applyOwnership(Daemon &daemon) {
  MembershipState &state = daemon.Membership;
  std::set<TargetId> owned;
  Ppm rate;
  {
    std::lock_guard<std::mutex> guard(state.Lock);
    for (const TargetId &it :
         ownedTargets(state.Doc, daemon.Conf.Vm, daemon.Life))
      if (state.ReleasingTargets.count(it) == 0)
        owned.insert(it);
    rate = ownedRate(state.Doc, daemon.Conf.Vm, daemon.Life);
  }
  applyTargets(daemon, owned);
  applyRates(daemon, rate);
  applyLinks(daemon, rate);
  setGauge("owned_targets", static_cast<double>(owned.size()));
  setGauge("owned_rate_ppm", static_cast<double>(rate.Value));
}

bool handleRenew(Daemon &daemon, const VmId &holder, const Incarnation &life,
                 const Incarnation &successorLife) {
  if (successorLife != daemon.Life)
    return false;
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  return grantLease(state.Grants, holder, life, monoNow(), state.Times);
}

} // namespace savorylb
