#include "peer_codec.h"
#include "store_mirror.h"
#include "vm_fixture.h"

#include "json_read.h"

using namespace savorylb;
using namespace savorylb::standin;

namespace {

std::string nested(const std::string &open, int depth) {
  std::string text;
  for (int i = 0; i < depth; ++i)
    text += open;
  return text + "1" + std::string(depth, open == "[" ? ']' : '}');
}

} // namespace

TEST_GROUP(HostileEntries){};

// Guards against odd documents that end the process or the reading of the list.
TEST(HostileEntries, ListIsFollowedPastOddEntries) {
  VmFixture fixture;
  PlatformStore &store = fixture.Platform.Store;
  std::string good = targetEntry("127.0.0.1:9", "tiles", "tema-a");
  const std::vector<std::string> odd = {
      nested("[", 100),
      nested("{\"a\":", 100'000),
      nested("[", 100'000),
      "{\"address\":1e400}",
      "",
      std::string("\0\xff\xfe", 3),
      std::string(400'000, 'x'),
      targetEntry("127.0.0.1:65536", "tiles", "tema-a"),
      targetEntry("127.0.0.1:99999999999999999999", "tiles", "tema-a"),
      targetEntry("host.example:80", "tiles", "tema-a"),
      targetEntry("127.0.0.1:80x", "tiles", "tema-a")};
  auto writeOdd = [&](const std::string &prefix) {
    for (std::size_t i = 0; i < odd.size(); ++i)
      store.put(prefix + std::to_string(i), odd[i]);
    store.put(prefix + "\x01\r\nX: y", good);
  };
  for (const char *it : {"servers/odd-", "op/rollout/odd-", "op/evacuate/odd-",
                         "status/vm/odd-", "status/rollout/odd-"})
    writeOdd(it);
  fixture.Platform.addTarget("tiles", "tema-a");
  fixture.addVm(2);
  fixture.waitReady(2);
  for (int i = 0; i < 5; ++i)
    LONGS_EQUAL(200, fixture.call(2, CallerRequest()).Status);
  // Changes after the odd ones are still seen.
  for (const char *it :
       {"servers/late-", "op/rollout/late-", "status/vm/late-"})
    writeOdd(it);
  store.put("op/config", "[[[");
  PlatformTarget &permits = fixture.Platform.addTarget("permits", "tema-a");
  CHECK_TRUE(fixture.waitUntil(
      [&] { return fixture.call(2, permitRequest("")).Status == 200; }));
  CHECK_TRUE(permits.Runs.size() > 0);
}

// Guards against callers that are sent to an address which is none.
TEST(HostileEntries, OddVmEntriesAreRejected) {
  const std::string entry =
      R"({"vm":"vm-1","zone":"a","region":"r","callers":"127.0.0.1:80","peers":"127.0.0.1:81","start":"s"})";
  CHECK_TRUE(readVmEntry(entry).has_value());
  for (const char *it :
       {"127.0.0.1:80x", "127.0.0.1:65536", "127.0.0.1:0", "host:80",
        "127.0.0.1:99999999999999999999", "127.0.0.1", ":"})
    for (const char *address : {"127.0.0.1:80", "127.0.0.1:81"}) {
      std::string text = entry;
      text.replace(text.find(address), std::string(address).size(), it);
      CHECK_FALSE_TEXT(readVmEntry(text).has_value(), text.c_str());
    }
}

// Guards against messages of VMs whose numbers overflow in sums and times.
TEST(HostileEntries, OddNumbersInMessagesAreRejected) {
  for (int depth : {100, 2000, 100'000}) {
    for (const char *open : {"[", "{\"a\":"}) {
      CHECK_FALSE(readPeerReport(nested(open, depth)).has_value());
      CHECK_FALSE(readTeamMessage(nested(open, depth)).has_value());
      CHECK_FALSE(readMirrorUpdate(nested(open, depth)).has_value());
    }
  }
  for (const char *it : {"[1e300,1,1]", "[1,1e30,1]", "[1,1,-1]",
                         "[1,1,9223372036854775807]", "[1,1,0.5]", "[1,1]"})
    CHECK_FALSE_TEXT(
        readTeamMessage(std::string(R"({"team_message":"v","uses":{"t":)") +
                        it + "}}")
            .has_value(),
        it);
  auto parts = readTeamMessage(
      R"({"team_message":"v","parts":{"a":1e30,"b":-1,"c":2,"d":"x","e":1},
"shares":{"b":-1,"c":2,"e":"x"},"tokens":{"b":-1,"c":1e30,"e":[]}})");
  CHECK_TRUE(parts.has_value());
  LONGS_EQUAL(3, parts.value().Grants.size());
  for (const auto &[team, grant] : parts.value().Grants) {
    CHECK_TRUE(grant.Fraction >= 0 && grant.Fraction <= 1);
    CHECK_TRUE(grant.Share >= 0 && grant.Share <= 1);
    CHECK_TRUE(grant.Tokens >= 0 && grant.Tokens <= 1e9);
  }
  auto report = readPeerReport(
      R"({"vm":"v","callers":"127.0.0.1:80","peers":"127.0.0.1:81","demand":{"t":1e300,"u":-5},
"rollouts":{"s":{"elapsed_ms":9223372036854775807,"routes":{"r":{"new":[9223372036854775807,-1,1]}}}}})");
  CHECK_TRUE(report.has_value());
  LONGS_EQUAL(0, report.value().Demand.count(TeamId("t")));
  DOUBLES_EQUAL(0, report.value().Demand.at(TeamId("u")), 0);
  const PeerReport::Rollout &rollout =
      report.value().Rollouts.at(ServiceId("s"));
  CHECK_TRUE(rollout.Elapsed == Duration::zero());
  LONGS_EQUAL(0, rollout.Evidence.at(RouteId("r")).NewVersion.Responses);
}
