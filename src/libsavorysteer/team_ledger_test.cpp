#include "team_ledger.h"
#include "team_limit.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <random>
#include <vector>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
constexpr Duration Step = Millis(10);
constexpr Duration Window = Seconds(5);
/// Allowed excess: fraction of the limit, and requests.
constexpr double OvershootFraction = 0.1;
constexpr double SlackRequests = 20;

struct SimulatedTeam {
  int VmCount = 10;
  TeamRate Rate;
  /// Requests per second of the whole team, before and after SurgeAt.
  double BaseRate = 0;
  double SurgeRate = 0;
  Duration SurgeAt = Seconds(5);
  /// Number of VMs at which the team's requests arrive.
  int ReceivingVms = 10;
  /// Time that a report takes to the ledger, and the response back.
  Duration Delay = Millis(40);
};

struct SimulationOutcome {
  double MostInWindow = 0;
  int Refused = 0;
  int Sent = 0;
};

struct Message {
  MonoTime At;
  int Vm = 0;
  TeamUsage Usage;
  double Fraction = 0;
};

SimulationOutcome simulate(const SimulatedTeam &team) {
  std::mt19937_64 random(3);
  std::vector<TeamThrottle> throttles(static_cast<std::size_t>(team.VmCount));
  for (TeamThrottle &it : throttles) {
    it.FractionReceived = true;
    it.ReceivedAt = Start;
  }
  TeamLedger ledger;
  std::deque<Message> reports;
  std::deque<Message> answers;
  std::deque<MonoTime> admitted;
  SimulationOutcome outcome;
  for (MonoTime now = Start; now < Start + Seconds(20); now += Step) {
    double rate = now < Start + team.SurgeAt ? team.BaseRate : team.SurgeRate;
    std::poisson_distribution<int> arrivals(
        rate * static_cast<double>(Step.count()) / 1e6);
    for (int n = arrivals(random); n > 0; --n) {
      TeamThrottle &throttle =
          throttles[random() % static_cast<std::size_t>(team.ReceivingVms)];
      throttle.LastArrivalAt = now;
      throttle.Unreported.Arrivals += 1;
      ++outcome.Sent;
      if (admitByFraction(throttle)) {
        throttle.Unreported.Admitted += 1;
        admitted.push_back(now);
      } else {
        ++outcome.Refused;
      }
    }
    for (int i = 0; i < team.VmCount; ++i) {
      TeamThrottle &throttle = throttles[static_cast<std::size_t>(i)];
      if (reportDue(throttle, now))
        reports.push_back({now + team.Delay, i, takeUsage(throttle, now), 0});
    }
    while (!reports.empty() && reports.front().At <= now) {
      Message it = reports.front();
      reports.pop_front();
      VmId vm("vm-" + std::to_string(it.Vm));
      recordTeamUsage(ledger, vm, it.Usage, team.Rate, now);
      answers.push_back({now + team.Delay,
                         it.Vm,
                         {},
                         admittedFraction(ledger, team.Rate, now)});
    }
    while (!answers.empty() && answers.front().At <= now) {
      TeamThrottle &throttle =
          throttles[static_cast<std::size_t>(answers.front().Vm)];
      throttle.Fraction = answers.front().Fraction;
      throttle.ReceivedAt = now;
      answers.pop_front();
    }
    while (!admitted.empty() && admitted.front() <= now - Window)
      admitted.pop_front();
    outcome.MostInWindow =
        std::max(outcome.MostInWindow, static_cast<double>(admitted.size()));
  }
  return outcome;
}

double mostAllowed(const TeamRate &rate) {
  return (5 * rate.PerSecond + rate.Burst) * (1 + OvershootFraction) +
         SlackRequests;
}

} // namespace

TEST_GROUP(TeamLedger){};

// Guards against a team that exceeds its limit over all VMs while reports are
// in transit, for high and low rates and many and few VMs.
TEST(TeamLedger, TeamAboveItsRateStaysWithinItsLimit) {
  for (int vms : {10, 79})
    for (double rate : {12.0, 60.0, 233.0})
      for (double times : {1.9, 4.7}) {
        SimulatedTeam team;
        team.VmCount = team.ReceivingVms = vms;
        team.Rate = {rate, rate};
        team.BaseRate = rate / 1.6;
        team.SurgeRate = rate * times;
        SimulationOutcome outcome = simulate(team);
        CHECK_TRUE(outcome.MostInWindow <= mostAllowed(team.Rate));
        // The team must also receive its rate.
        CHECK_TRUE(outcome.Sent - outcome.Refused >
                   0.85 * (5 * team.BaseRate + 15 * rate));
      }
}

// Guards against refusals of a team within its rate whose requests arrive at
// few VMs. Occurs when each of 79 VMs enforces a share of the limit.
TEST(TeamLedger, TeamWithinItsRateIsNotRefused) {
  SimulatedTeam team;
  team.VmCount = 79;
  team.ReceivingVms = 3;
  team.Rate = {20, 20};
  team.BaseRate = team.SurgeRate = 12.5;
  LONGS_EQUAL(0, simulate(team).Refused);
}

// Guards against admitting the full rate on both sides of a network partition.
TEST(TeamLedger, ReservesTheRateOfSilentVms) {
  TeamLedger ledger;
  TeamRate rate{100, 100};
  MonoTime now = Start;
  for (int i = 0; i < 30; ++i) {
    now += Millis(100);
    recordTeamUsage(ledger, VmId("near"), {15, 10, Millis(100)}, rate, now);
    recordTeamUsage(ledger, VmId("far"), {15, 10, Millis(100)}, rate, now);
  }
  double admitted = 0;
  double fraction = admittedFraction(ledger, rate, now);
  for (int i = 0; i < 40; ++i) {
    now += Millis(100);
    double n = 15 * fraction;
    admitted += i >= 20 ? n : 0;
    recordTeamUsage(ledger, VmId("near"), {15, n, Millis(100)}, rate, now);
    fraction = admittedFraction(ledger, rate, now);
  }
  // Two seconds at half of the rate, with a margin.
  CHECK_TRUE(admitted < 130);
}

// Guards against decisions by a fraction that is too old.
TEST(TeamLedger, OldFractionsAreNotValid) {
  TeamThrottle throttle;
  CHECK_FALSE(fractionValid(throttle, Start));
  throttle.FractionReceived = true;
  throttle.ReceivedAt = Start;
  CHECK_TRUE(fractionValid(throttle, Start + FractionValidFor));
  CHECK_FALSE(fractionValid(throttle, Start + FractionValidFor + Millis(1)));
}

// Guards against many teams changing their ledger's owner when one VM leaves.
TEST(TeamLedger, OnlyTeamsOfTheVmThatLeftMove) {
  std::vector<VmId> vms;
  vms.reserve(10);
  for (int i = 0; i < 10; ++i)
    vms.emplace_back("vm-" + std::to_string(i));
  std::vector<VmId> fewer(vms.begin(), vms.end() - 1);
  for (int i = 0; i < 100; ++i) {
    TeamId team("team-" + std::to_string(i));
    if (ledgerOwner(team, vms) != vms.back())
      CHECK_TRUE(ledgerOwner(team, vms) == ledgerOwner(team, fewer));
  }
}

TEST_GROUP(TeamLimit){};

// Guards against shares that add up to more than the limit.
TEST(TeamLimit, SharesOfAllVmsAddUpToOne) {
  std::vector<double> demands = {0, 0, 30, 10, 0.5, 8};
  double all = 48.5;
  double sum = 0;
  for (double it : demands)
    sum += shareOfLimit(it, all, static_cast<int>(demands.size()));
  DOUBLES_EQUAL(1, sum, 1e-9);
}

// Guards against admitting more than burst and rate on a VM that does not reach
// the ledger.
TEST(TeamLimit, BucketAdmitsBurstAndRate) {
  TeamLimit limit;
  int admitted = 0;
  for (MonoTime now = Start; now < Start + Seconds(5); now += Millis(1))
    admitted += takeTeamToken(limit, 100, 100, 0.5, now);
  CHECK_TRUE(admitted <= 300);
  CHECK_TRUE(admitted >= 280);
}
