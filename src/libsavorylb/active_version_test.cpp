#include "savorylb/active_version.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

ServiceSpec serviceWith(const std::vector<std::string> &versions) {
  ServiceSpec service;
  for (const std::string &it : versions) {
    TargetSpec target;
    target.Version = VersionId(it);
    service.Targets.push_back(target);
  }
  return service;
}

std::string activeFor(const std::vector<std::string> &versions,
                      const RolloutRecord *record = nullptr) {
  return activeVersion(serviceWith(versions), record).Value;
}

} // namespace

TEST_GROUP(ActiveVersion) {
  RolloutRecord Record;

  void setup() override {
    Record.Phase = RolloutPhase::RolledBack;
    Record.From = VersionId("v1");
    Record.To = VersionId("v2");
    Record.RolledBackVersions = {VersionId("v2")};
  }
};

// Guards against a choice by list order or by plain string order.
TEST(ActiveVersion, LowestWithoutARecord) {
  STRCMP_EQUAL("v9", activeFor({"v10", "v9", "v9"}).c_str());
  STRCMP_EQUAL("1.2", activeFor({"1.10", "1.2", "1.2.1"}).c_str());
  STRCMP_EQUAL("v2", activeFor({"", "v2"}).c_str());
  STRCMP_EQUAL("", activeFor({"", ""}).c_str());
  STRCMP_EQUAL("", activeFor({}).c_str());
}

// Guards against choosing a version that was rolled back, also if several were,
// and against choosing no version when all were rolled back.
TEST(ActiveVersion, RolledBackOnlyWhenAlone) {
  STRCMP_EQUAL("v1", activeFor({"v2", "v1"}, &Record).c_str());
  STRCMP_EQUAL("v3", activeFor({"v2", "v3"}, &Record).c_str());
  STRCMP_EQUAL("v3", activeFor({"v3", "v2"}, &Record).c_str());
  Record.RolledBackVersions.insert(VersionId("v3"));
  STRCMP_EQUAL("v4", activeFor({"v2", "v4", "v3"}, &Record).c_str());
  STRCMP_EQUAL("v2", activeFor({"v2"}, &Record).c_str());
}

// Guards against choosing the old version after a rollout is done, and against
// choosing the new version of an unfinished rollout whose entry was removed.
TEST(ActiveVersion, LastRolloutDecides) {
  Record.Phase = RolloutPhase::Done;
  Record.RolledBackVersions.clear();
  STRCMP_EQUAL("v2", activeFor({"v1", "v2", "v3"}, &Record).c_str());
  STRCMP_EQUAL("v1", activeFor({"v1", "v3"}, &Record).c_str());
  Record.Phase = RolloutPhase::Running;
  STRCMP_EQUAL("v1", activeFor({"v1", "v2"}, &Record).c_str());
}
