#include "peer_codec.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(PeerCodec){};

// Guards against fields of a report that are lost or changed when another VM
// reads it.
TEST(PeerCodec, ReportRoundTrips) {
  PeerReport report;
  report.Vm = {VmId("vm-1"),     ZoneId("tema-a"), RegionId("tema"),
               "127.0.0.1:8001", "127.0.0.1:8004", "s1"};
  report.Draining = true;
  report.DocumentsRevision = {StoreEra(3), Revision(77)};
  report.ConfigVersion = 12;
  report.Demand[TeamId("port")] = 12.5;
  report.Shares[TeamId("port")] = 0.125;
  report.Rollouts[ServiceId("tiles")] = {
      {StoreEra(2), Revision(70)},
      Millis(2500),
      true,
      {{RouteId("r"), {{5, 2, 1}, {9, 0, 0}}}}};
  auto read = readPeerReport(writePeerReport(report));
  CHECK_TRUE(read.has_value());
  const PeerReport &other = read.value();
  STRCMP_EQUAL("s1", other.Vm.StartId.c_str());
  CHECK_TRUE(other.Draining);
  LONGS_EQUAL(77, other.DocumentsRevision.Number.Value);
  LONGS_EQUAL(3, other.DocumentsRevision.Era.Value);
  LONGS_EQUAL(12, other.ConfigVersion);
  DOUBLES_EQUAL(12.5, other.Demand.at(TeamId("port")), 0.01);
  DOUBLES_EQUAL(0.125, other.Shares.at(TeamId("port")), 0.001);
  const PeerReport::Rollout &rollout = other.Rollouts.at(ServiceId("tiles"));
  CHECK_TRUE(rollout.Bad);
  CHECK_TRUE(
      (rollout.OrderRevision == StorePosition(StoreEra(2), Revision(70))));
  CHECK_TRUE(rollout.Elapsed == Duration(Millis(2500)));
  LONGS_EQUAL(2, rollout.Evidence.at(RouteId("r")).NewVersion.Failures);
}

// Guards against rejecting the reports of VMs of an earlier build.
TEST(PeerCodec, ReportWithoutEraIsOfEraZero) {
  auto read = readPeerReport(
      R"({"vm":"vm-1","callers":"127.0.0.1:8001","peers":"127.0.0.1:8004","documents":77})");
  CHECK_TRUE(read.has_value());
  LONGS_EQUAL(77, read.value().DocumentsRevision.Number.Value);
  LONGS_EQUAL(0, read.value().DocumentsRevision.Era.Value);
  LONGS_EQUAL(0, read.value().ConfigVersion);
}

// Guards against accepting foreign or malformed datagrams as messages of a VM.
TEST(PeerCodec, RejectsMalformedText) {
  for (const char *it : {"", "{}", "[1]", "{\"vm\":5}", "\x01\x02"}) {
    CHECK_FALSE(readPeerReport(it).has_value());
    CHECK_FALSE(readTeamMessage(it).has_value());
  }
  CHECK_FALSE(
      readTeamMessage("{\"team_message\":\"vm-1\",\"uses\":{\"port\":[1,2]}}")
          .has_value());
}

// Guards against losing a team's usage between VMs.
TEST(PeerCodec, TeamMessageRoundTrips) {
  TeamMessage message;
  message.Vm = VmId("vm-1");
  message.Usages[TeamId("port")] = {7, 5, Millis(100)};
  message.Grants[TeamId("dock")] = {0.25, 0.125, 3.5};
  auto read = readTeamMessage(writeTeamMessage(message));
  CHECK_TRUE(read.has_value());
  DOUBLES_EQUAL(5, read.value().Usages.at(TeamId("port")).Admitted, 0.01);
  TeamGrant grant = read.value().Grants.at(TeamId("dock"));
  DOUBLES_EQUAL(0.25, grant.Fraction, 0.001);
  DOUBLES_EQUAL(0.125, grant.Share, 0.001);
  DOUBLES_EQUAL(3.5, grant.Tokens, 0.01);
}

// Guards against counts that are lost or changed on the way to the holder.
TEST(PeerCodec, UsageReportRoundTrips) {
  UsageReport report{VmId("vm-1"), "s1", 42, {}};
  report.Windows[UsageWindow(9)] = {{TeamId("port"), 412}};
  std::string text = writeUsageReport(report);
  auto read = readUsageReport(text);
  CHECK_TRUE(read && writeUsageReport(read.value()) == text);
  LONGS_EQUAL(412, read.value().Windows.at(UsageWindow(9)).at(TeamId("port")));
  CHECK_FALSE(readUsageReport(R"({"usage":{"vm":"a","start":"s"}})"));
}

// Guards against a wall clock that is lost, or sent while the duty is off.
TEST(PeerCodec, ReportCarriesTheWallClockOnlyIfSet) {
  PeerReport report;
  report.Vm = {VmId("a"), {}, {}, "127.0.0.1:8001", "127.0.0.1:8004", "s1"};
  CHECK_TRUE(writePeerReport(report).find("wall") == std::string::npos);
  report.Wall = WallTime(Millis(1'767'225'600'123));
  auto read = readPeerReport(writePeerReport(report));
  CHECK_TRUE(read && read.value().Wall == report.Wall);
}
