#include "team_ledger.h"

#include "savorylb/hash.h"

#include <algorithm>
#include <cmath>

namespace savorylb {
namespace {

/// Part of the burst at which requests begin to be refused; the rest covers
/// what VMs admit before they hear of it.
constexpr double PressurePart = 0.4;
/// Level that is held under pressure, and the time to come back to it.
constexpr double HeldPart = 0.2;
constexpr double SettleSeconds = 1;
/// Tokens that a new ledger has, as a part of the burst. The VM that kept it
/// before has ended, and what was used of it is not known.
constexpr double StartPart = 0.6;
/// Memory of a VM's arrival rate.
constexpr double RateMemorySeconds = 0.4;

double seconds(Duration span) {
  return std::max<double>(0, static_cast<double>(span.count())) / 1e6;
}

/// Arrivals a second at the VMs that report, and at those that are silent.
struct Demand {
  double Heard = 0;
  double Silent = 0;
};

Demand demandOf(TeamLedger &ledger, MonoTime now) {
  Demand demand;
  for (auto it = ledger.Senders.begin(); it != ledger.Senders.end();) {
    Duration age = now - it->second.At;
    if (age > KeptBackFor) {
      it = ledger.Senders.erase(it);
      continue;
    }
    (age > SilentAfter ? demand.Silent : demand.Heard) += it->second.PerSecond;
    ++it;
  }
  return demand;
}

double usableRate(const Demand &demand, const TeamRate &rate) {
  double all = demand.Heard + demand.Silent;
  return all > 0 ? rate.PerSecond * demand.Heard / all : rate.PerSecond;
}

void refill(TeamLedger &ledger, const TeamRate &rate, double perSecond,
            MonoTime now) {
  if (!ledger.Started) {
    ledger.Started = true;
    ledger.Level = StartPart * rate.Burst;
  } else {
    ledger.Level += perSecond * seconds(now - ledger.RefilledAt);
  }
  ledger.RefilledAt = now;
  ledger.Level = std::min(ledger.Level, rate.Burst);
}

} // namespace

void noteTeamUse(TeamLedger &ledger, const VmId &vm, const TeamUse &use,
                 const TeamRate &rate, MonoTime now) {
  refill(ledger, rate, usableRate(demandOf(ledger, now), rate), now);
  ledger.Level -= use.Admitted;
  TeamLedger::Sender &sender = ledger.Senders[vm];
  double span = std::max(0.02, seconds(use.Span));
  double keep = std::exp(-span / RateMemorySeconds);
  sender.PerSecond = keep * sender.PerSecond + (1 - keep) * use.Arrivals / span;
  sender.At = now;
}

double admittedPart(TeamLedger &ledger, const TeamRate &rate, MonoTime now) {
  Demand demand = demandOf(ledger, now);
  double usable = usableRate(demand, rate);
  refill(ledger, rate, usable, now);
  if (ledger.Level > PressurePart * rate.Burst || demand.Heard <= 0)
    return 1;
  double wanted =
      usable + (ledger.Level - HeldPart * rate.Burst) / SettleSeconds;
  return std::clamp(wanted / demand.Heard, 0.0, 1.0);
}

bool partValid(const TeamGate &gate, MonoTime now) {
  return gate.Known && now - gate.HeardAt <= PartValidFor;
}

bool admitByPart(TeamGate &gate) {
  gate.Credit = std::min(gate.Credit + gate.Part, 2.0);
  if (gate.Credit < 1)
    return false;
  gate.Credit -= 1;
  return true;
}

bool reportDue(const TeamGate &gate, MonoTime now) {
  if (now - gate.ArrivedAt > ReportAfterArrival)
    return false;
  Duration every =
      gate.Unreported.Arrivals > 0 ? UseReportEvery : IdleReportEvery;
  return now - gate.ReportedAt >= every;
}

TeamUse takeUse(TeamGate &gate, MonoTime now) {
  TeamUse use = gate.Unreported;
  use.Span = std::min(Duration(IdleReportEvery), now - gate.ReportedAt);
  gate.Unreported = TeamUse();
  gate.ReportedAt = now;
  return use;
}

VmId ledgerVm(const TeamId &team, const std::vector<VmId> &vms) {
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
