#ifndef SAVORYLB_TEAM_LIMIT_H
#define SAVORYLB_TEAM_LIMIT_H

#include "savorylb/units.h"

namespace savorylb {

/// One team's rate limit on this VM.
struct TeamLimit {
  double Tokens = 0;
  MonoTime RefilledAt{};
  bool Started = false;
  /// Requests since CountedAt, and the smoothed rate before.
  double Arrivals = 0;
  MonoTime CountedAt{};
  double DemandPerSecond = 0;
};

/// Over how long the demand of a team is smoothed.
constexpr Duration DemandMemory = Millis(2000);
/// Part of the mean demand that each VM is given beyond its own, so that a
/// caller who comes to another VM finds tokens there.
constexpr double DemandFloor = 0.2;
/// Part of the burst that a VM has when it starts. While it was away it
/// admitted nothing, which makes up for what it used before.
constexpr double StartPart = 0.8;
/// Tokens that a VM may hold at least, else a small share admits nothing.
constexpr double MinCapacity = 1.5;

/// Counts one request, admitted or not.
void countArrival(TeamLimit &limit);

/// Brings the smoothed demand up to date; called about once a second.
void updateDemand(TeamLimit &limit, MonoTime now);

/// \param own this VM's demand.
/// \param all the demand of all VMs, with this one.
/// \param vms the number of VMs, with this one.
/// \returns this VM's part of the team's limit, 0 to 1; the parts of all VMs
///          add up to 1 when they know the same demands.
double shareOfLimit(double own, double all, int vms);

/// Takes a token for one request.
/// \param limit the team's limit on this VM.
/// \param perSecond the team's rate over all VMs.
/// \param burst the team's burst over all VMs.
/// \param share this VM's part.
/// \param now the current time.
/// \returns whether there was one.
bool takeTeamToken(TeamLimit &limit, double perSecond, double burst,
                   double share, MonoTime now);

/// Gives back the token of a request that no target ran.
void returnTeamToken(TeamLimit &limit);

/// \returns when a token is there again.
Duration teamTokenDelay(const TeamLimit &limit, double perSecond, double share);

} // namespace savorylb

#endif // SAVORYLB_TEAM_LIMIT_H
