#include "savorylb/settings.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const std::string Good = R"({
  // Comments are allowed.
  "vm": "tema-a-1", "zone": "tema-a", "region": "tema",
  "caller_port": 7101, "peer_port": 7201, "admin_port": 7301,
  "store_url": "http://127.0.0.1:8500",
  "vm_list_url": "http://127.0.0.1:8500/v1/vms",
  "seeds": ["127.0.0.1:7202"],
  "drain_grace_ms": 1500, "log_decisions": false
})";

std::string findingsOf(const std::string &text) {
  Findings found;
  parseSettings("vm.json", text, found);
  return formatFindings(found);
}

} // namespace

TEST_GROUP(Settings){};

// Guards against fields that are accepted but not used.
TEST(Settings, ReadsFieldsAndKeepsDefaults) {
  Findings found;
  Settings out = parseSettings("vm.json", Good, found);
  STRCMP_EQUAL("", formatFindings(found).c_str());
  STRCMP_EQUAL("tema-a-1", out.Vm.Value.c_str());
  LONGS_EQUAL(7301, out.AdminPort);
  CHECK(out.DrainGrace == Millis(1500));
  CHECK(out.IdentityRetention == Seconds(900));
  CHECK(!out.LogDecisions);
}

// Guards against reporting only the first error, and against wrong line
// numbers.
TEST(Settings, CollectsAllMistakesWithLineAndPath) {
  std::string out = findingsOf("{\n\"vm\": \"a b\",\n\"zone\": \"z\",\n"
                               "\"caller_port\": \"7001\",\n"
                               "\"drain_grace\": 5,\n"
                               "\"store_url\": \"ftp://x\",\n"
                               "\"vm_list_url\": \"http://x/v1/vms\",\n"
                               "\"seeds\": [\"127.0.0.1\"],\n"
                               "\"drain_limit_ms\": -1\n}");
  STRCMP_CONTAINS("vm.json:2: vm: expected a name", out.c_str());
  STRCMP_CONTAINS("vm.json:1: region: required field is missing", out.c_str());
  STRCMP_CONTAINS("vm.json:4: caller_port: expected a whole number",
                  out.c_str());
  STRCMP_CONTAINS("vm.json:5: drain_grace: unknown field; did you mean "
                  "\"drain_grace_ms\"?",
                  out.c_str());
  STRCMP_CONTAINS("vm.json:6: store_url: ", out.c_str());
  STRCMP_CONTAINS("vm.json:8: seeds[0]: expected host:port", out.c_str());
  STRCMP_CONTAINS("vm.json:9: drain_limit_ms: expected 0 to", out.c_str());
  // The line of a value that starts in the first column is correct.
  STRCMP_CONTAINS("vm.json:2: vm: expected a name",
                  findingsOf("{\"vm\":\n5}").c_str());
}

// Guards against starting two servers on the same port.
TEST(Settings, RefusesEqualPorts) {
  std::string text = Good;
  text.replace(text.find("7201"), 4, "7101");
  STRCMP_CONTAINS("peer_port: same port as caller_port",
                  findingsOf(text).c_str());
}

// Guards against partially read files and duplicate fields.
TEST(Settings, RefusesBrokenJson) {
  STRCMP_CONTAINS("vm.json:2: invalid JSON",
                  findingsOf("{\n\"vm\" 1}").c_str());
  STRCMP_CONTAINS("Duplicate key",
                  findingsOf("{\"vm\": \"a\",\n\"vm\": \"b\"}").c_str());
  CHECK(!findingsOf(std::string(2000, '[')).empty());
  CHECK(!findingsOf("[]").empty());
  CHECK(!findingsOf("").empty());
}
