#include "savorylb/version_in_force.h"

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

std::string inForce(const std::vector<std::string> &versions,
                    const RolloutRecord *record = nullptr) {
  return versionInForce(serviceWith(versions), record).Value;
}

} // namespace

TEST_GROUP(VersionInForce) {
  RolloutRecord Record;

  void setup() override {
    Record.Phase = RolloutPhase::TakenBack;
    Record.From = VersionId("v1");
    Record.To = VersionId("v2");
    Record.TakenBack = {VersionId("v2")};
  }
};

// Guards against a choice by the order of the list or of plain text.
TEST(VersionInForce, LowestWithoutARecord) {
  STRCMP_EQUAL("v9", inForce({"v10", "v9", "v9"}).c_str());
  STRCMP_EQUAL("1.2", inForce({"1.10", "1.2", "1.2.1"}).c_str());
  STRCMP_EQUAL("v2", inForce({"", "v2"}).c_str());
  STRCMP_EQUAL("", inForce({"", ""}).c_str());
  STRCMP_EQUAL("", inForce({}).c_str());
}

// Guards against a version that returns after it was taken back, also when
// several were, and against a service without targets in use.
TEST(VersionInForce, TakenBackOnlyWhenAlone) {
  STRCMP_EQUAL("v1", inForce({"v2", "v1"}, &Record).c_str());
  STRCMP_EQUAL("v3", inForce({"v2", "v3"}, &Record).c_str());
  STRCMP_EQUAL("v3", inForce({"v3", "v2"}, &Record).c_str());
  Record.TakenBack.insert(VersionId("v3"));
  STRCMP_EQUAL("v4", inForce({"v2", "v4", "v3"}, &Record).c_str());
  STRCMP_EQUAL("v2", inForce({"v2"}, &Record).c_str());
}

// Guards against a return to the old version after a rollout that is done, and
// against a share of a rollout whose entry was removed.
TEST(VersionInForce, LastRolloutDecides) {
  Record.Phase = RolloutPhase::Done;
  Record.TakenBack.clear();
  STRCMP_EQUAL("v2", inForce({"v1", "v2", "v3"}, &Record).c_str());
  STRCMP_EQUAL("v1", inForce({"v1", "v3"}, &Record).c_str());
  Record.Phase = RolloutPhase::Running;
  STRCMP_EQUAL("v1", inForce({"v1", "v2"}, &Record).c_str());
}
