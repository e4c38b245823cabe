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
  report.DocumentsRevision = Revision(77);
  report.Demand[TeamId("port")] = 12.5;
  report.Rollouts[ServiceId("tiles")] = {
      Revision(70),
      Millis(2500),
      true,
      {{RouteId("r"), {{5, 2, 1}, {9, 0, 0}}}}};
  auto read = readPeerReport(writePeerReport(report));
  CHECK_TRUE(read.has_value());
  const PeerReport &other = read.value();
  STRCMP_EQUAL("s1", other.Vm.StartId.c_str());
  CHECK_TRUE(other.Draining);
  LONGS_EQUAL(77, other.DocumentsRevision.Value);
  DOUBLES_EQUAL(12.5, other.Demand.at(TeamId("port")), 0.01);
  const PeerReport::Rollout &rollout = other.Rollouts.at(ServiceId("tiles"));
  CHECK_TRUE(rollout.Bad);
  CHECK_TRUE(rollout.Elapsed == Duration(Millis(2500)));
  LONGS_EQUAL(2, rollout.Evidence.at(RouteId("r")).NewVersion.Failures);
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
  message.Fractions[TeamId("dock")] = 0.25;
  auto read = readTeamMessage(writeTeamMessage(message));
  CHECK_TRUE(read.has_value());
  DOUBLES_EQUAL(5, read.value().Usages.at(TeamId("port")).Admitted, 0.01);
  DOUBLES_EQUAL(0.25, read.value().Fractions.at(TeamId("dock")), 0.001);
}
