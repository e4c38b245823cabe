#include "savorylb/lease_grants.h"

#include <algorithm>

namespace savorylb {

void restartGracePeriod(LeaseGrants &grants, MonoTime now) {
  grants.GraceStartedAt = std::max(grants.GraceStartedAt, now);
}

bool grantLease(LeaseGrants &grants, const VmId &vm,
                const Incarnation &incarnation, MonoTime now,
                const LeaseTimes &times) {
  if (grants.TakingOver.count({vm, incarnation}) != 0)
    return false;
  // An ended grant has no effect. Erasing all of them keeps those of past
  // incarnations from accumulating.
  for (auto it = grants.HeldUntil.begin(); it != grants.HeldUntil.end();)
    it = it->second <= now ? grants.HeldUntil.erase(it) : std::next(it);
  MonoTime &until = grants.HeldUntil[{vm, incarnation}];
  until = std::max(until, now + times.Granted);
  return true;
}

bool mayTakeOver(const LeaseGrants &grants, const VmId &vm,
                 const Incarnation &incarnation, MonoTime now,
                 const LeaseTimes &times, bool provedDead) {
  if (provedDead)
    return true;
  if (now < grants.GraceStartedAt + times.Granted)
    return false;
  auto it = grants.HeldUntil.find({vm, incarnation});
  return it == grants.HeldUntil.end() || now >= it->second;
}

void beginTakeover(LeaseGrants &grants, const VmId &vm,
                   const Incarnation &incarnation, MonoTime now) {
  grants.TakingOver.try_emplace({vm, incarnation}, now);
}

void abandonTakeover(LeaseGrants &grants, const VmId &vm,
                     const Incarnation &incarnation) {
  grants.TakingOver.erase({vm, incarnation});
}

} // namespace savorylb
