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
constexpr double Overshoot = 0.1;
constexpr double Slack = 20;

struct PlayedTeam {
  int VmCount = 10;
  TeamRate Rate;
  /// Requests a second of the whole team; from Surge on.
  double Usual = 0;
  double Surge = 0;
  Duration SurgeAt = Seconds(5);
  /// Only so many VMs get the team's callers.
  int Spread = 10;
  /// Reports take this long to the ledger, and answers back.
  Duration Delay = Millis(40);
};

struct PlayedOutcome {
  double MostInWindow = 0;
  int Refused = 0;
  int Sent = 0;
};

struct Message {
  MonoTime At;
  int Vm = 0;
  TeamUse Use;
  double Part = 0;
};

PlayedOutcome play(const PlayedTeam &team) {
  std::mt19937_64 random(3);
  std::vector<TeamGate> gates(static_cast<std::size_t>(team.VmCount));
  for (TeamGate &it : gates) {
    it.Known = true;
    it.HeardAt = Start;
  }
  TeamLedger ledger;
  std::deque<Message> reports;
  std::deque<Message> answers;
  std::deque<MonoTime> admitted;
  PlayedOutcome outcome;
  for (MonoTime now = Start; now < Start + Seconds(20); now += Step) {
    double rate = now < Start + team.SurgeAt ? team.Usual : team.Surge;
    std::poisson_distribution<int> arrivals(
        rate * static_cast<double>(Step.count()) / 1e6);
    for (int n = arrivals(random); n > 0; --n) {
      TeamGate &gate = gates[random() % static_cast<std::size_t>(team.Spread)];
      gate.ArrivedAt = now;
      gate.Unreported.Arrivals += 1;
      ++outcome.Sent;
      if (admitByPart(gate)) {
        gate.Unreported.Admitted += 1;
        admitted.push_back(now);
      } else {
        ++outcome.Refused;
      }
    }
    for (int i = 0; i < team.VmCount; ++i) {
      TeamGate &gate = gates[static_cast<std::size_t>(i)];
      if (reportDue(gate, now))
        reports.push_back({now + team.Delay, i, takeUse(gate, now), 0});
    }
    while (!reports.empty() && reports.front().At <= now) {
      Message it = reports.front();
      reports.pop_front();
      VmId vm("vm-" + std::to_string(it.Vm));
      noteTeamUse(ledger, vm, it.Use, team.Rate, now);
      answers.push_back(
          {now + team.Delay, it.Vm, {}, admittedPart(ledger, team.Rate, now)});
    }
    while (!answers.empty() && answers.front().At <= now) {
      TeamGate &gate = gates[static_cast<std::size_t>(answers.front().Vm)];
      gate.Part = answers.front().Part;
      gate.HeardAt = now;
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
  return (5 * rate.PerSecond + rate.Burst) * (1 + Overshoot) + Slack;
}

} // namespace

TEST_GROUP(TeamLedger){};

// Guards against a team that exceeds its limit over all VMs while reports are
// on their way, for large and small teams and fleets.
TEST(TeamLedger, TeamAtManyTimesItsRateStaysWithinItsWindow) {
  for (int vms : {10, 79})
    for (double rate : {12.0, 60.0, 233.0})
      for (double times : {1.9, 4.7}) {
        PlayedTeam team;
        team.VmCount = team.Spread = vms;
        team.Rate = {rate, rate};
        team.Usual = rate / 1.6;
        team.Surge = rate * times;
        PlayedOutcome outcome = play(team);
        CHECK_TRUE(outcome.MostInWindow <= mostAllowed(team.Rate));
        // It also gets its rate.
        CHECK_TRUE(outcome.Sent - outcome.Refused >
                   0.85 * (5 * team.Usual + 15 * rate));
      }
}

// Guards against refusals of a team within its rate whose callers come to few
// VMs, seen on a fleet of 79 with a part of the limit on each.
TEST(TeamLedger, TeamWithinItsRateIsNotRefused) {
  PlayedTeam team;
  team.VmCount = 79;
  team.Spread = 3;
  team.Rate = {20, 20};
  team.Usual = team.Surge = 12.5;
  LONGS_EQUAL(0, play(team).Refused);
}

// Guards against a second full rate on the other side of a partition.
TEST(TeamLedger, KeepsTheRateOfSilentVmsBack) {
  TeamLedger ledger;
  TeamRate rate{100, 100};
  MonoTime now = Start;
  for (int i = 0; i < 30; ++i) {
    now += Millis(100);
    noteTeamUse(ledger, VmId("near"), {15, 10, Millis(100)}, rate, now);
    noteTeamUse(ledger, VmId("far"), {15, 10, Millis(100)}, rate, now);
  }
  double admitted = 0;
  double part = admittedPart(ledger, rate, now);
  for (int i = 0; i < 40; ++i) {
    now += Millis(100);
    double n = 15 * part;
    admitted += i >= 20 ? n : 0;
    noteTeamUse(ledger, VmId("near"), {15, n, Millis(100)}, rate, now);
    part = admittedPart(ledger, rate, now);
  }
  // Two seconds at half of the rate.
  CHECK_TRUE(admitted < 130);
}

// Guards against decisions on a part that the ledger told long ago.
TEST(TeamLedger, OldPartsAreNotValid) {
  TeamGate gate;
  CHECK_FALSE(partValid(gate, Start));
  gate.Known = true;
  gate.HeardAt = Start;
  CHECK_TRUE(partValid(gate, Start + PartValidFor));
  CHECK_FALSE(partValid(gate, Start + PartValidFor + Millis(1)));
}

// Guards against VMs that name different ledgers, or move many teams when one
// VM leaves.
TEST(TeamLedger, OnlyTeamsOfTheVmThatLeftMove) {
  std::vector<VmId> vms;
  vms.reserve(10);
  for (int i = 0; i < 10; ++i)
    vms.emplace_back("vm-" + std::to_string(i));
  std::vector<VmId> fewer(vms.begin(), vms.end() - 1);
  for (int i = 0; i < 100; ++i) {
    TeamId team("team-" + std::to_string(i));
    if (ledgerVm(team, vms) != vms.back())
      CHECK_TRUE(ledgerVm(team, vms) == ledgerVm(team, fewer));
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

// Guards against more than burst and rate on a VM without its ledger.
TEST(TeamLimit, BucketAdmitsBurstAndRate) {
  TeamLimit limit;
  int admitted = 0;
  for (MonoTime now = Start; now < Start + Seconds(5); now += Millis(1))
    admitted += takeTeamToken(limit, 100, 100, 0.5, now);
  CHECK_TRUE(admitted <= 300);
  CHECK_TRUE(admitted >= 280);
}
