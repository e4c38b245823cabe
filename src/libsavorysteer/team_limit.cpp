#include "team_limit.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Maximum retry delay for a team over its limit.
constexpr Duration MaxRetryDelay = Millis(2000);

double seconds(Duration span) {
  return std::max<double>(0, static_cast<double>(span.count())) / 1e6;
}

} // namespace

void countArrival(TeamLimit &limit) { limit.Arrivals += 1; }

void updateDemand(TeamLimit &limit, MonoTime now) {
  double span = seconds(now - limit.CountedAt);
  if (span <= 0)
    return;
  double keep = std::exp(-span / seconds(DemandTimeConstant));
  limit.DemandPerSecond =
      keep * limit.DemandPerSecond + (1 - keep) * limit.Arrivals / span;
  limit.Arrivals = 0;
  limit.CountedAt = now;
}

double shareOfLimit(double own, double all, int vms) {
  double n = std::max(1, vms);
  if (all <= 0)
    return 1 / n;
  double added = AddedDemandFraction * all / n;
  return std::min(1.0, (own + added) / (all + n * added));
}

bool takeTeamToken(TeamLimit &limit, double perSecond, double burst,
                   double share, MonoTime now) {
  double rate = perSecond * share;
  double capacity = std::max(MinCapacity, burst * share);
  if (!limit.Started) {
    limit.Started = true;
    limit.Tokens = std::max(1.0, capacity * InitialTokenFraction);
  } else {
    limit.Tokens += rate * seconds(now - limit.RefilledAt);
  }
  limit.RefilledAt = now;
  limit.Tokens = std::min(limit.Tokens, capacity);
  if (limit.Tokens < 1)
    return false;
  limit.Tokens -= 1;
  return true;
}

void setTeamTokens(TeamLimit &limit, double tokens, MonoTime now) {
  limit.Started = true;
  limit.Tokens = tokens;
  limit.RefilledAt = now;
}

void returnTeamToken(TeamLimit &limit) { limit.Tokens += 1; }

Duration teamTokenDelay(const TeamLimit &limit, double perSecond,
                        double share) {
  double rate = perSecond * share;
  if (rate <= 0)
    return MaxRetryDelay;
  double wait = std::max(0.0, 1 - limit.Tokens) / rate;
  return std::min(MaxRetryDelay,
                  Duration(static_cast<Duration::rep>(wait * 1e6)));
}

} // namespace savorylb
