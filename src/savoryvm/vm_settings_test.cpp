#include "vm_settings.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const std::string Good = R"(// Comment.
{
  "vm": "vm-1", "zone": "tema-a", "region": "tema", "address": "127.0.0.1",
  "zones": {"tema-a": "tema", "elm-a": "elmina"},
  "caller_address": "127.0.0.1:8001", "ready_address": "127.0.0.1:8002",
  "lookup_address": "127.0.0.1:8003", "peer_port": "8004",
  "store_address": "127.0.0.1:8005", "min_lease": "1000ms", "trial_share": "0.05",
  "trial_slack": "50",
  "repeat_ratio": "0.2", "repeat_window": "10s", "repeat_slack": "60"
})";

} // namespace

TEST_GROUP(VmSettings){};

// Guards against misread settings.
TEST(VmSettings, ReadsSettings) {
  Findings findings;
  VmSettings settings = readVmSettings("f", Good, findings);
  LONGS_EQUAL(0, findings.size());
  STRCMP_EQUAL("elmina", settings.Zones[ZoneId("elm-a")].Value.c_str());
  LONGS_EQUAL(8004, settings.PeerPort);
  CHECK_TRUE(settings.RetryBudgetWindow == Millis(10000));
  DOUBLES_EQUAL(60, settings.RetryBudgetSlack, 0.01);
  DOUBLES_EQUAL(0.05, settings.MaxBadShare, 0.001);
  DOUBLES_EQUAL(50, settings.MaxBadSlack, 0.001);
}

// Guards against features that start without their settings, and against
// settings of a duty that cannot be performed.
TEST(VmSettings, FeaturesAreOffWithoutTheirSettings) {
  Findings findings;
  VmSettings settings = readVmSettings("f", Good, findings);
  CHECK_FALSE(settings.Duty.UsageReporting);
  CHECK_TRUE(settings.LoadReportInterval == Millis(0));
  LONGS_EQUAL(1, settings.ObjectReplicas);
  CHECK_FALSE(settings.OverloadControl);
  CHECK_FALSE(settings.CompressReports);
  std::string text = Good;
  text.replace(text.find("\"repeat_ratio\""), 14,
               "\"duties\": \"other,usage_reporting\", \"object_replicas\": "
               "\"0\", \"overload_control\": \"yes\", \"repeat_ratio\"");
  settings = readVmSettings("f", text, findings);
  CHECK_TRUE(settings.Duty.UsageReporting);
  // No address and no window; no replicas; an unknown word.
  LONGS_EQUAL(4, findings.size());
}

// Guards against reporting only the first error, or an error without its line.
TEST(VmSettings, ReportsAllErrorsAtOnce) {
  std::string text = Good;
  text.replace(text.find("127.0.0.1:8001"), 14, "127.0.0.1");
  text.replace(text.find("\"10s\""), 5, "\"10\"");
  text.replace(text.find("\"8004\""), 6, "\"-\"");
  text.replace(text.find("min_lease"), 9, "max_lease");
  Findings findings;
  readVmSettings("f", text, findings);
  LONGS_EQUAL(5, findings.size()); // The port is not a number and out of range.
  CHECK_TRUE(findings[0].Line > 1);
  findings.clear();
  readVmSettings("f", "{", findings);
  LONGS_EQUAL(1, findings.size());
}
