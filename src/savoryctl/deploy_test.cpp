#include "config_commands.h"
#include "json_text.h"

#include "savorylb/config.h"
#include "savorylb/settings.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace savorylb;

namespace {

// Not derived from __FILE__, which is relative in a build with ccache's base
// directory: tests run in other folders than the compiler.
std::filesystem::path deployDir() {
  return std::filesystem::path(SAVORY_SOURCE_DIR) / "deploy";
}

std::string readAll(const std::filesystem::path &path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

void checkDeployment(const std::string &name) {
  std::filesystem::path dir = deployDir() / name;
  Findings findings;
  Config config = parseConfig(name, readAll(dir / "config.json"), findings);
  parseConfig(name, readAll(dir / "config-rollout.json"), findings);
  std::map<std::string, int> vms;
  std::set<int> ports;
  for (const auto &entry : std::filesystem::directory_iterator(dir)) {
    std::string file = entry.path().filename().string();
    if (file.rfind("vm-", 0) != 0)
      continue;
    Settings vm = parseSettings(file, readAll(entry.path()), findings);
    CHECK(regionOf(config, vm.Zone) == vm.Region);
    ++vms[vm.Zone.Value];
    ports.insert({vm.CallerPort, vm.PeerPort, vm.AdminPort});
  }
  STRCMP_EQUAL("", formatFindings(findings).c_str());
  LONGS_EQUAL(6, vms.size());
  LONGS_EQUAL(30, ports.size());
  LONGS_EQUAL(8, config.Teams.size());
  LONGS_EQUAL(52, parseJsonText(readAll(dir / "targets.json")).value().size());
  LONGS_EQUAL(10,
              parseJsonText(readAll(dir / "vms.json")).value()["vms"].size());
  Json::Value keys = parseJsonText(readAll(dir / "keys.json")).value();
  for (const Json::Value &key : keys)
    CHECK(findTeam(config, TeamId(key["team"].asString())) != nullptr);
  std::map<std::string, std::size_t> targets;
  for (const ServiceSpec &service : config.Services)
    for (const TargetSpec &it : service.Targets)
      ++targets[it.Zone.Value];
  for (const auto &[zone, count] : targets)
    CHECK_TEXT(count == 8 || count == 9, zone.c_str());
}

} // namespace

TEST_GROUP(Deploy){};

// Guards against shipped files that the daemon or savoryctl rejects.
TEST(Deploy, ShippedFilesAreValid) {
  checkDeployment("marine");
  checkDeployment("cooperative");
}
