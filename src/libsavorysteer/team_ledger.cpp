#include "team_ledger.h"

#include "savorylb/hash.h"
#include "team_limit.h"

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
/// Time constants of a VM's smoothed arrival rates.
constexpr double RateTimeConstantSeconds = 0.4;
constexpr double MeanTimeConstantSeconds = 2;

double seconds(Duration span) {
  return std::max<double>(0, static_cast<double>(span.count())) / 1e6;
}

/// The VMs that report, and the share that is not reserved for silent ones.
struct Demand {
  double PerSecond = 0;
  double MeanPerSecond = 0;
  int Vms = 0;
  double FreeShare = 1;
};

Demand demandOf(const TeamLedger &ledger) {
  Demand demand;
  for (const auto &[vm, it] : ledger.Reporters) {
    if (it.Silent) {
      demand.FreeShare -= it.Share;
      continue;
    }
    demand.PerSecond += it.PerSecond;
    demand.MeanPerSecond += it.MeanPerSecond;
    ++demand.Vms;
  }
  demand.FreeShare = std::max(0.0, demand.FreeShare);
  return demand;
}

/// Takes from the ledger what VMs that have become silent can use.
void updateSilence(TeamLedger &ledger, const TeamRate &rate, MonoTime now) {
  for (auto it = ledger.Reporters.begin(); it != ledger.Reporters.end();) {
    TeamLedger::Reporter &reporter = it->second;
    Duration age = now - reporter.At;
    if (age > SilentReserveTime && ledger.ReclaimsShares) {
      it = ledger.Reporters.erase(it);
      continue;
    }
    if (age > SilentAfter && !reporter.Silent) {
      reporter.Silent = true;
      double level =
          std::max(0.0, reporter.Level) + rate.PerSecond * seconds(age);
      ledger.Level -= reporter.Share * std::min(level, rate.Burst);
    }
    ++it;
  }
}

/// Brings the ledger up to date.
Demand refill(TeamLedger &ledger, const TeamRate &rate, MonoTime now) {
  Duration span = ledger.Started ? now - ledger.RefilledAt : Duration::zero();
  ledger.Level += rate.PerSecond * demandOf(ledger).FreeShare * seconds(span);
  ledger.RefilledAt = now;
  updateSilence(ledger, rate, now);
  Demand demand = demandOf(ledger);
  ledger.Level = std::min(ledger.Level, rate.Burst * demand.FreeShare);
  return demand;
}

double smoothed(double old, double sample, double span, double timeConstant) {
  double keep = std::exp(-span / timeConstant);
  return keep * old + (1 - keep) * sample;
}

} // namespace

void recordTeamUsage(TeamLedger &ledger, const VmId &vm, const TeamUsage &usage,
                     const TeamRate &rate, MonoTime now) {
  Demand demand = refill(ledger, rate, now);
  // VMs may have reported to another ledger meanwhile, and what they took from
  // it is not known.
  if (!ledger.Started || now - ledger.ReportedAt > SilentAfter) {
    double held = HeldFraction * rate.Burst * demand.FreeShare;
    ledger.Level = ledger.Started ? std::min(ledger.Level, held) : held;
    ledger.Started = true;
  }
  ledger.ReportedAt = now;
  ledger.Level -= usage.Admitted;
  TeamLedger::Reporter &reporter = ledger.Reporters[vm];
  // At least 20 ms, because a rate over a span of 0 is undefined.
  double span = std::max(0.02, seconds(usage.Span));
  double sample = usage.Arrivals / span;
  reporter.PerSecond =
      smoothed(reporter.PerSecond, sample, span, RateTimeConstantSeconds);
  reporter.MeanPerSecond =
      smoothed(reporter.MeanPerSecond, sample, span, MeanTimeConstantSeconds);
  reporter.Silent = false;
  reporter.At = now;
  demand = demandOf(ledger);
  reporter.Share =
      demand.FreeShare *
      shareOfLimit(reporter.MeanPerSecond, demand.MeanPerSecond, demand.Vms);
  reporter.Level = ledger.Level;
}

double admittedFraction(TeamLedger &ledger, const TeamRate &rate,
                        MonoTime now) {
  Demand demand = refill(ledger, rate, now);
  double burst = rate.Burst * demand.FreeShare;
  if (ledger.Level > ThrottleThreshold * burst || demand.PerSecond <= 0)
    return 1;
  double wanted = rate.PerSecond * demand.FreeShare +
                  (ledger.Level - HeldFraction * burst) / SettleSeconds;
  return std::clamp(wanted / demand.PerSecond, 0.0, 1.0);
}

TeamGrant grantFor(TeamLedger &ledger, const VmId &vm, const TeamRate &rate,
                   MonoTime now) {
  TeamGrant grant;
  grant.Fraction = admittedFraction(ledger, rate, now);
  auto it = ledger.Reporters.find(vm);
  if (it != ledger.Reporters.end())
    grant.Share = it->second.Share;
  grant.Tokens = std::max(0.0, ledger.Level) * grant.Share;
  if (grant.Fraction >= 1)
    grant.Tokens = std::max(grant.Tokens, MinCapacity);
  return grant;
}

void noteHeldShare(TeamLedger &ledger, const VmId &vm, double share,
                   double perSecond, MonoTime at) {
  auto it = ledger.Reporters.find(vm);
  if (it == ledger.Reporters.end()) {
    if (share <= 0)
      return;
    it = ledger.Reporters.try_emplace(vm).first;
    it->second.Silent = true;
    it->second.PerSecond = it->second.MeanPerSecond = perSecond;
  } else if (!it->second.Silent || at <= it->second.At) {
    return;
  }
  if (share <= 0) {
    ledger.Reporters.erase(it);
    return;
  }
  it->second.Share = share;
  it->second.At = at;
}

void dropSilentVm(TeamLedger &ledger, const VmId &vm) {
  auto it = ledger.Reporters.find(vm);
  if (it != ledger.Reporters.end() && it->second.Silent)
    ledger.Reporters.erase(it);
}

bool fractionFresh(const TeamThrottle &throttle, MonoTime now) {
  return throttle.FractionReceived &&
         now - throttle.ReceivedAt <= FractionFreshFor;
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
