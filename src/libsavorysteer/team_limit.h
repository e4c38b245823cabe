#ifndef SAVORYLB_TEAM_LIMIT_H
#define SAVORYLB_TEAM_LIMIT_H

#include "savorylb/units.h"

namespace savorylb {

/// One team's token bucket and demand on this VM. It decides on requests while
/// the owner of the team's ledger is unreachable.
struct TeamLimit {
  double Tokens = 0;
  MonoTime RefilledAt{};
  bool Started = false;
  /// Requests since CountedAt.
  double Arrivals = 0;
  MonoTime CountedAt{};
  /// Smoothed requests per second up to CountedAt.
  double DemandPerSecond = 0;
};

/// Time constant of a team's smoothed demand.
constexpr Duration DemandTimeConstant = Millis(2000);
/// Fraction of the mean demand that is added to the demand of each VM, so that
/// a caller that switches to another VM finds tokens there.
constexpr double AddedDemandFraction = 0.2;
/// Fraction of its share of the burst with which a VM starts. The tokens that
/// it used before a restart are not known; it admitted nothing while it was
/// stopped, which compensates for them.
constexpr double InitialTokenFraction = 0.8;
/// Minimum bucket size of a VM. With a smaller one, a VM with a small share
/// would never admit a request.
constexpr double MinCapacity = 3;

/// Counts one request, admitted or not.
void countArrival(TeamLimit &limit);

/// Updates the smoothed demand; called about once a second.
void updateDemand(TeamLimit &limit, MonoTime now);

/// Computes this VM's share of a team's limit.
/// \param own this VM's demand.
/// \param all the demand of all VMs, including this one.
/// \param vms the number of VMs, including this one.
/// \returns the share, 0 to 1; the shares of all VMs add up to 1 if they know
///          the same demands.
double shareOfLimit(double own, double all, int vms);

/// Takes a token for one request.
/// \param perSecond the team's rate over all VMs.
/// \param burst the team's burst over all VMs.
/// \param share this VM's share of the limit.
/// \returns whether a token was available.
bool takeTeamToken(TeamLimit &limit, double perSecond, double burst,
                   double share, MonoTime now);

/// Sets the tokens left.
void setTeamTokens(TeamLimit &limit, double tokens, MonoTime now);

/// Returns the token of a request that no target executed.
void returnTeamToken(TeamLimit &limit);

/// \returns the time until a token is available, at most 2 s; 2 s if the rate
///          is 0.
Duration teamTokenDelay(const TeamLimit &limit, double perSecond, double share);

} // namespace savorylb

#endif // SAVORYLB_TEAM_LIMIT_H
