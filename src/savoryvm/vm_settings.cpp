#include "vm_settings.h"

#include "http_connection.h"
#include "json_read.h"

#include <cstdlib>
#include <functional>
#include <json/json.h>
#include <set>

namespace savorylb {
namespace {

/// Settings being read.
struct Reading {
  const Json::Value &Root;
  const std::string &File;
  const std::string &Text;
  Findings &Found;
};

int lineAt(const Reading &reading, const Json::Value &value) {
  int line = 1;
  for (std::ptrdiff_t i = 0; i < value.getOffsetStart(); ++i)
    line += reading.Text[static_cast<std::size_t>(i)] == '\n';
  return line;
}

void find(Reading &reading, const std::string &name,
          const std::string &message) {
  reading.Found.push_back(
      {reading.File, lineAt(reading, reading.Root[name]), name, message});
}

std::string text(Reading &reading, const char *name) {
  auto value = platform::textIn(reading.Root, name);
  if (!value || value->empty())
    find(reading, name, "must be a text that is not empty");
  return value.value_or("");
}

std::string endpoint(Reading &reading, const char *name) {
  std::string value = text(reading, name);
  if (!value.empty() && !parseEndpoint(value))
    find(reading, name, "must be an address and a port, as in 10.0.0.1:80");
  return value;
}

/// An empty text leaves the default.
void readTime(Reading &reading, const char *name, Millis &value) {
  auto given = platform::textIn(reading.Root, name);
  if (!given || given->empty())
    return;
  if (auto parsed = platform::parseTime(*given))
    value = *parsed;
  else
    find(reading, name, "must be a time with a unit, as in 1500ms or 2.5s");
}

void readNumber(Reading &reading, const char *name, double &value) {
  auto given = platform::textIn(reading.Root, name);
  if (!given || given->empty())
    return;
  char *end = nullptr;
  double parsed = std::strtod(given->c_str(), &end);
  if (*end != 0 || parsed < 0)
    find(reading, name, "must be a number that is not negative");
  else
    value = parsed;
}

const std::set<std::string> KnownNames = {
    "vm",         "zone",           "region",        "address",
    "zones",      "caller_address", "ready_address", "lookup_address",
    "peer_port",  "store_address",  "min_lease",     "lookup_max_age",
    "stop_grace", "repeat_ratio",   "repeat_window", "repeat_slack",
    "trial_share"};

} // namespace

VmSettings readVmSettings(const std::string &file, const std::string &text,
                          Findings &findings) {
  VmSettings settings;
  Json::CharReaderBuilder builder;
  builder["rejectDupKeys"] = true;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string error;
  if (!reader->parse(text.data(), text.data() + text.size(), &root, &error) ||
      !root.isObject()) {
    findings.push_back({file, 1, "", "not a JSON object: " + error});
    return settings;
  }
  Reading reading{root, file, text, findings};
  for (const std::string &it : root.getMemberNames())
    if (!KnownNames.count(it))
      find(reading, it, "is not a setting");
  settings.Vm = VmId(savorylb::text(reading, "vm"));
  settings.Zone = ZoneId(savorylb::text(reading, "zone"));
  settings.Region = RegionId(savorylb::text(reading, "region"));
  settings.Address = savorylb::text(reading, "address");
  settings.CallerAddress = endpoint(reading, "caller_address");
  settings.ReadyAddress = endpoint(reading, "ready_address");
  settings.LookupAddress = endpoint(reading, "lookup_address");
  settings.StoreAddress = endpoint(reading, "store_address");
  const Json::Value &zones = platform::member(root, "zones");
  if (!zones.isObject())
    find(reading, "zones", "must be an object of zone and region");
  else
    for (const std::string &it : zones.getMemberNames())
      settings.Zones[ZoneId(it)] =
          RegionId(platform::textIn(zones, it.c_str()).value_or(""));
  settings.Zones[settings.Zone] = settings.Region;
  double port = 0;
  readNumber(reading, "peer_port", port);
  settings.PeerPort = static_cast<int>(port);
  if (settings.PeerPort <= 0 || settings.PeerPort > 65535)
    find(reading, "peer_port", "must be a port");
  readTime(reading, "min_lease", settings.MinLease);
  readTime(reading, "lookup_max_age", settings.LookupMaxAge);
  readTime(reading, "stop_grace", settings.StopGrace);
  readTime(reading, "repeat_window", settings.RepeatWindow);
  readNumber(reading, "repeat_ratio", settings.RepeatRatio);
  readNumber(reading, "repeat_slack", settings.RepeatSlack);
  readNumber(reading, "trial_share", settings.TrialShare);
  if (settings.TrialShare > 1)
    find(reading, "trial_share", "must be a part of 1");
  return settings;
}

} // namespace savorylb
