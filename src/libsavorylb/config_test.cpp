#include "savorylb/config.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

// A valid document; each test makes it invalid by replacing a part of it.
const std::string Good = R"({
  "revision": 7, "name": "test",
  "regions": [{"name": "tema", "zones": ["tema-a", "tema-b"]},
              {"name": "elmina", "zones": ["elmina-a"], "draining": true}],
  "links": [{"from": "tema", "to": "elmina", "bytes_per_second": 500000000, "delay_ms": 20}],
  "sites": [{"name": "accra", "distance_ms": {"tema": 10, "elmina": 10.5}}],
  "blocks": [{"cidr": "10.1.0.0/16", "site": "accra"}],
  "services": [
    {"name": "tiles", "execution": "idempotent", "open": true, "open_team": "public",
     "max_time_ms": 2000, "targets": [
       {"name": "tiles-01", "zone": "tema-a", "address": "127.0.0.1:21000", "slots": 4, "version": "v1"},
       {"name": "tiles-02", "zone": "tema-b", "address": "127.0.0.1:21001", "slots": 4, "version": "v2"}]},
    {"name": "permits", "execution": "at-most-once", "targets": []}],
  "templates": {"large": {"rate": "${rate}", "burst": 200, "regions": ["${home}"], "services": ["tiles", "permits"]}},
  "teams": [
    {"name": "harbour", "template": "large", "parameters": {"rate": 900, "home": "tema"}},
    {"name": "public", "rate": 50, "burst": 10, "weight": 2, "regions": ["elmina"], "services": ["tiles"]}],
  "rollouts": [{"name": "tiles-v2", "service": "tiles", "from": "v1", "to": "v2", "cap_percent": 0.5,
    "start": "2026-12-04T09:00:00Z", "deadline": 1796378400000}]
})";

std::string findingsWith(const std::string &from, const std::string &to) {
  std::string text = Good;
  std::size_t at = text.find(from);
  CHECK_TEXT(at != std::string::npos, from.c_str());
  text.replace(at, from.size(), to);
  Findings found;
  parseConfig("c.json", text, found);
  return formatFindings(found);
}

void checkFinding(const std::string &from, const std::string &to,
                  const std::string &expected) {
  STRCMP_CONTAINS(expected.c_str(), findingsWith(from, to).c_str());
}

} // namespace

TEST_GROUP(Config){};

// Guards against values that are lost or converted incorrectly.
TEST(Config, ReadsAWholeDocument) {
  Findings found;
  Config out = parseConfig("c.json", Good, found);
  STRCMP_EQUAL("", formatFindings(found).c_str());
  CHECK(out.Rev == Revision(7));
  CHECK(out.Regions[1].Draining);
  CHECK(out.Links[0].Delay == Millis(20));
  CHECK(out.Sites[0].Distance[RegionId("elmina")] == Duration(10'500));
  CHECK(findService(out, ServiceId("permits"))->Mode == Execution::AtMostOnce);
  LONGS_EQUAL(4, findService(out, ServiceId("tiles"))->Targets[1].Slots);
  CHECK(out.Rollouts[0].Cap == Ppm(5'000));
  LONGS_EQUAL(5, out.Rollouts[0].Steps.size());
  // 1796374800 is 2026-12-04T09:00:00Z.
  CHECK(out.Rollouts[0].Start == WallTime(Millis(1796374800000)));
  CHECK(regionOf(out, ZoneId("elmina-a")) == RegionId("elmina"));
  LONGS_EQUAL(3, allZones(out).size());
}

// Guards against template parameters that change their type when rendered.
TEST(Config, RendersTemplates) {
  Findings found;
  Config out = parseConfig("c.json", Good, found);
  const TeamSpec *team = findTeam(out, TeamId("harbour"));
  CHECK(team != nullptr);
  LONGS_EQUAL(900, team->Rate);
  CHECK(team->Regions[0] == RegionId("tema"));
  checkFinding("\"rate\": 900", "\"rate\": \"900\"",
               "c.json:16: teams[0].rate: expected a whole number, found the "
               "string \"900\"");
  checkFinding("\"rate\": 900, ", "",
               "c.json:16: teams[0].parameters: parameter \"rate\" is missing");
  checkFinding("\"rate\": 900,", "\"rate\": 900, \"brust\": 1,",
               "c.json:16: teams[0].parameters.brust: parameter is not used");
  checkFinding("[\"${home}\"]", "[\"x-${home}\"]", "must be the whole value");
  checkFinding("\"burst\": 200", "\"brust\": 200",
               "c.json:14: teams[0].brust: unknown field; did you mean "
               "\"burst\"?");
  checkFinding("\"template\": \"large\"", "\"template\": \"lrage\"",
               "unknown template \"lrage\"; did you mean \"large\"?");
}

// Guards against references to names that do not exist.
TEST(Config, ChecksCrossReferences) {
  checkFinding("\"zone\": \"tema-b\"", "\"zone\": \"tema-c\"",
               "c.json:12: services[0].targets[1].zone: unknown zone "
               "\"tema-c\"; did you mean");
  checkFinding("\"open_team\": \"public\"", "\"open_team\": \"pubic\"",
               "services[0].open_team: unknown team");
  checkFinding(", \"open_team\": \"public\"", "",
               "services[0].open_team: an open service needs");
  checkFinding("\"services\": [\"tiles\"]", "\"services\": [\"tile\"]",
               "c.json:17: teams[1].services[0]: unknown service");
  checkFinding("\"elmina\": 10.5", "\"elmna\": 10.5",
               "c.json:6: sites[0].distance_ms.elmna: unknown region");
  checkFinding("\"site\": \"accra\"", "\"site\": \"acra\"",
               "c.json:7: blocks[0].site: unknown site");
  checkFinding("\"to\": \"v2\"", "\"to\": \"v3\"",
               "c.json:18: rollouts[0].to: no target of \"tiles\" has");
  checkFinding("\"to\": \"elmina\"", "\"to\": \"tema\"", "links[0].to: a link");
}

// Guards against duplicate names and addresses: ownership and slots are kept by
// name, and two targets at one address would each be assigned all of its slots.
TEST(Config, RefusesRepeatedNames) {
  checkFinding("\"tiles-02\"", "\"tiles-01\"",
               "c.json:12: services[0].targets[1].name: \"tiles-01\" is "
               "repeated");
  checkFinding("127.0.0.1:21001", "127.0.0.1:21000",
               "services[0].targets[1].address: ");
  checkFinding("\"elmina-a\"", "\"tema-a\"", "regions[1].zones: ");
  checkFinding("\"name\": \"public\"", "\"name\": \"harbour\"",
               "c.json:17: teams[1].name: \"harbour\" is repeated");
  checkFinding("\"name\": \"permits\"", "\"name\": \"tiles\"",
               "services[1].name: ");
}

// Guards against passing invalid or out-of-range values on to daemons.
TEST(Config, ChecksRangesAndSyntax) {
  checkFinding("10.1.0.0/16", "10.1.0.0/33", "blocks[0].cidr: expected");
  checkFinding("10.1.0.0/16", "10.1.0/16", "blocks[0].cidr: expected");
  checkFinding("10.1.0.0/16", "10.1.1.0/16", "blocks[0].cidr: address bits");
  checkFinding("\"slots\": 4", "\"slots\": 0", "slots: expected 1 to");
  checkFinding("\"burst\": 10", "\"burst\": 2000000", "burst: expected 1 to");
  checkFinding("127.0.0.1:21000", "127.0.0.1", "address: expected host:port");
  checkFinding("\"at-most-once\"", "\"once\"", "services[1].execution: ");
  checkFinding("1796378400000", "1796374800000",
               "c.json:19: rollouts[0].deadline: must be after");
  checkFinding("2026-12-04T", "2026-02-30T", "rollouts[0].start: expected");
  checkFinding("0.5,", "0.5, \"steps_percent\": [5, 5, 90],",
               "steps_percent[1]: steps must be strictly increasing");
  checkFinding("0.5,", "0.5, \"steps_percent\": [5, 90],",
               "steps_percent: the last step must be 100");
  checkFinding("\"cap_percent\": 0.5", "\"cap_percent\": 0",
               "cap_percent: expected a percentage");
  checkFinding("\"max_time_ms\"", "\"max_time\"",
               "did you mean \"max_time_ms\"?");
}

// Guards against a crash on values of the wrong type.
TEST(Config, SurvivesWrongTypes) {
  checkFinding("\"targets\": []", "\"targets\": {}",
               "services[1].targets: expected a list");
  checkFinding("[{\"cidr\"", "[5, {\"cidr\"", "blocks[0]: expected an object");
  checkFinding("\"parameters\": {\"rate\": 900, \"home\": \"tema\"}",
               "\"parameters\": 5", "teams[0].parameters: expected an object");
  Findings found;
  parseConfig("c.json", "[1]", found);
  CHECK(!found.empty());
}
