#include "savorylb/event_code.h"

#include <fstream>
#include <map>
#include <regex>
#include <string>

// Redefines operator new by a macro, so it must follow the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

std::map<int, std::string> readCatalogue() {
  std::ifstream in(std::string(SAVORY_SOURCE_DIR) + "/docs/EVENTS.md");
  std::regex row(R"(\| (\d{4}) \| `([a-z_]+)` \|.*)");
  std::map<int, std::string> events;
  std::string line;
  std::smatch match;
  while (std::getline(in, line))
    if (std::regex_match(line, match, row))
      events[std::stoi(match[1])] = match[2];
  return events;
}

} // namespace

TEST_GROUP(EventCatalogue){};

// Guards against an event catalogue that lacks an event or misnames it.
TEST(EventCatalogue, ListsEveryEventOfTheCode) {
  std::map<int, std::string> catalogue = readCatalogue();
  int found = 0;
  for (int code = 1000; code < 10'000; ++code) {
    std::string name = eventName(static_cast<EventCode>(code));
    if (name == "unnamed")
      continue;
    ++found;
    STRCMP_EQUAL(name.c_str(), catalogue[code].c_str());
  }
  LONGS_EQUAL(found, catalogue.size());
}
