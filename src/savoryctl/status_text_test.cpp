#include "json_text.h"
#include "status_text.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

bool contains(const std::string &text, const char *part) {
  return text.find(part) != std::string::npos;
}

Json::Value servingStatus() {
  return parseJsonText(R"({"vm":"tema-a-1","zone":"tema-a","departing":false,
    "keys_in_force":true,"requests_in_flight":3,"store_reachable":true,
    "store_contact_age_ms":450,"revisions":{"savory/v1/config":12},
    "membership":{"member":true,"lease_held":true,"rate_ppm":83333,
    "targets":["a","b"]},"rollouts":[]})")
      .value();
}

} // namespace

TEST_GROUP(StatusText){};

TEST(StatusText, ShowsAServingDaemonOnOneLine) {
  std::string line = statusLine(servingStatus());
  for (const char *it : {"tema-a-1", "serving", "8.33", "12", "0.5 s"})
    CHECK_TRUE_TEXT(contains(line, it), it);
}

// Guards against showing a daemon that does not serve as healthy.
TEST(StatusText, ShowsWhyADaemonDoesNotServe) {
  Json::Value status = servingStatus();
  status["keys_in_force"] = false;
  CHECK(contains(statusLine(status), "keys stale"));
  status["membership"]["lease_held"] = false;
  CHECK(contains(statusLine(status), "no lease"));
  status["departing"] = true;
  CHECK(contains(statusLine(status), "departing"));
  status["store_reachable"] = false;
  CHECK(contains(statusLine(status), "lost"));
}
