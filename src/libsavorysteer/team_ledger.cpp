#include "team_ledger.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Fraction of the burst below which requests are refused. The tokens left
/// cover the requests that VMs admit before they receive a lower fraction.
constexpr double ThrottleThreshold = 0.4;
/// Level at which the bucket is held while requests are refused, as a fraction
/// of the burst, and the time in which it returns to that level.
constexpr double HeldFraction = 0.2;
constexpr double SettleSeconds = 1;
/// Tokens of a new ledger as a fraction of the burst. The previous owner has
/// stopped, and how much of the burst was used is not known.
constexpr double InitialLevelFraction = 0.6;
/// Time constant of a VM's smoothed arrival rate.
constexpr double RateTimeConstantSeconds = 0.4;

double seconds(Duration span) {
  return std::max<double>(0, static_cast<double>(span.count())) / 1e6;
}

/// Arrivals per second at the VMs that report, and at those that are silent.
struct Demand {
  double Reporting = 0;
  double Silent = 0;
};

Demand demandOf(TeamLedger &ledger, MonoTime now) {
  Demand demand;
  for (auto it = ledger.Reporters.begin(); it != ledger.Reporters.end();) {
    Duration age = now - it->second.At;
    if (age > SilentReserveTime) {
      it = ledger.Reporters.erase(it);
      continue;
    }
    (age > SilentAfter ? demand.Silent : demand.Reporting) +=
        it->second.PerSecond;
    ++it;
  }
  return demand;
}

double availableRate(const Demand &demand, const TeamRate &rate) {
  double all = demand.Reporting + demand.Silent;
  return all > 0 ? rate.PerSecond * demand.Reporting / all : rate.PerSecond;
}

void refill(TeamLedger &ledger, const TeamRate &rate, double perSecond,
            MonoTime now) {
  if (!ledger.Started) {
    ledger.Started = true;
    ledger.Level = InitialLevelFraction * rate.Burst;
  } else {
    ledger.Level += perSecond * seconds(now - ledger.RefilledAt);
  }
  ledger.RefilledAt = now;
  ledger.Level = std::min(ledger.Level, rate.Burst);
}

} // namespace

void recordTeamUsage(TeamLedger &ledger, const VmId &vm, const TeamUsage &usage,
                     const TeamRate &rate, MonoTime now) {
  refill(ledger, rate, availableRate(demandOf(ledger, now), rate), now);
  ledger.Level -= usage.Admitted;
  TeamLedger::Reporter &reporter = ledger.Reporters[vm];
  // At least 20 ms, because a rate over a span of 0 is undefined.
  double span = std::max(0.02, seconds(usage.Span));
  double keep = std::exp(-span / RateTimeConstantSeconds);
  reporter.PerSecond =
      keep * reporter.PerSecond + (1 - keep) * usage.Arrivals / span;
  reporter.At = now;
}

double admittedFraction(TeamLedger &ledger, const TeamRate &rate,
                        MonoTime now) {
  Demand demand = demandOf(ledger, now);
  double available = availableRate(demand, rate);
  refill(ledger, rate, available, now);
  if (ledger.Level > ThrottleThreshold * rate.Burst || demand.Reporting <= 0)
    return 1;
  double wanted =
      available + (ledger.Level - HeldFraction * rate.Burst) / SettleSeconds;
  return std::clamp(wanted / demand.Reporting, 0.0, 1.0);
}

bool fractionValid(const TeamThrottle &throttle, MonoTime now) {
  return throttle.FractionReceived &&
         now - throttle.ReceivedAt <= FractionValidFor;
}

bool admitByFraction(TeamThrottle &throttle) {
  throttle.Credit = std::min(throttle.Credit + throttle.Fraction, 2.0);
  if (throttle.Credit < 1)
    return false;
  throttle.Credit -= 1;
  return true;
}

bool reportDue(const TeamThrottle &throttle, MonoTime now) {
  if (now - throttle.LastArrivalAt > ReportAfterArrival)
    return false;
  Duration every = throttle.Unreported.Arrivals > 0 ? UsageReportInterval
                                                    : IdleReportInterval;
  return now - throttle.ReportedAt >= every;
}

TeamUsage takeUsage(TeamThrottle &throttle, MonoTime now) {
  TeamUsage usage = throttle.Unreported;
  usage.Span =
      std::min(Duration(IdleReportInterval), now - throttle.ReportedAt);
  throttle.Unreported = TeamUsage();
  throttle.ReportedAt = now;
  return usage;
}

VmId ledgerOwner(const TeamId &team, const std::vector<VmId> &vms) {
  VmId best;
  std::uint64_t highest = 0;
  for (const VmId &it : vms) {
    std::uint64_t hash = stableHash(it.Value, stableHash(team.Value));
    if (best.empty() || hash > highest) {
      best = it;
      highest = hash;
    }
  }
  return best;
}

} // namespace savorylb
