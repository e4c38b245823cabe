#include "vm_settings.h"

#include "http_connection.h"
#include "json_read.h"

#include <cstdlib>
#include <fstream>
#include <functional>
#include <json/json.h>
#include <set>
#include <sstream>

namespace savorylb {
namespace {

/// The document being parsed and the findings so far.
struct ParseContext {
  const Json::Value &Root;
  const std::string &File;
  const std::string &Text;
  Findings &AllFindings;
};

int lineAt(const ParseContext &context, const Json::Value &value) {
  int line = 1;
  for (std::ptrdiff_t i = 0; i < value.getOffsetStart(); ++i)
    line += context.Text[static_cast<std::size_t>(i)] == '\n';
  return line;
}

void addFinding(ParseContext &context, const std::string &name,
                const std::string &message) {
  context.AllFindings.push_back(
      {context.File, lineAt(context, context.Root[name]), name, message});
}

std::string requiredString(ParseContext &context, const char *name) {
  auto value = platform::stringMember(context.Root, name);
  if (!value || value->empty())
    addFinding(context, name, "must be a non-empty string");
  return value.value_or("");
}

std::string requiredEndpoint(ParseContext &context, const char *name) {
  std::string value = requiredString(context, name);
  if (!value.empty() && !parseEndpoint(value))
    addFinding(context, name,
               "must be an IP address and port, as in 10.0.0.1:80");
  return value;
}

/// Reads an optional duration; an absent or empty setting keeps the default.
void readDuration(ParseContext &context, const char *name, Millis &value) {
  auto given = platform::stringMember(context.Root, name);
  if (!given || given->empty())
    return;
  if (auto parsed = platform::parseDuration(*given))
    value = *parsed;
  else
    addFinding(context, name,
               "must be a duration with unit, as in 1500ms or 2.5s");
}

void readNumber(ParseContext &context, const char *name, double &value) {
  auto given = platform::stringMember(context.Root, name);
  if (!given || given->empty())
    return;
  char *end = nullptr;
  double parsed = std::strtod(given->c_str(), &end);
  if (*end != 0 || parsed < 0)
    addFinding(context, name, "must be a non-negative number");
  else
    value = parsed;
}

const std::set<std::string> KnownSettings = {"vm",
                                             "zone",
                                             "region",
                                             "address",
                                             "zones",
                                             "caller_address",
                                             "ready_address",
                                             "lookup_address",
                                             "peer_port",
                                             "store_address",
                                             "min_lease",
                                             "lookup_max_age",
                                             "stop_grace",
                                             "repeat_ratio",
                                             "repeat_window",
                                             "repeat_slack",
                                             "trial_share",
                                             "trial_slack",
                                             "duties",
                                             "platform_api_address",
                                             "duty_calls_per_second",
                                             "duty_lease",
                                             "duty_lease_margin",
                                             "duty_fencing",
                                             "usage_window",
                                             "usage_due",
                                             "load_report_interval",
                                             "object_replicas",
                                             "cached_objects",
                                             "overload_control",
                                             "compress_reports"};

/// Reads an optional switch; an absent or empty setting keeps the default.
/// \param on text of the setting that turns the switch on.
/// \param off text that turns it off.
void readSwitch(ParseContext &context, const char *name, const char *on,
                const char *off, bool &value) {
  auto given = platform::stringMember(context.Root, name);
  if (!given || given->empty())
    return;
  if (*given != on && *given != off)
    addFinding(context, name,
               std::string("must be `") + on + "` or `" + off + "`");
  value = *given == on;
}

/// Reads an optional whole number of at least 1.
void readCount(ParseContext &context, const char *name, int &value) {
  constexpr double MaxCount = 1000;
  double number = value;
  readNumber(context, name, number);
  if (number < 1 || number > MaxCount ||
      number != static_cast<double>(static_cast<int>(number)))
    addFinding(context, name, "must be a whole number from 1 to 1000");
  else
    value = static_cast<int>(number);
}

bool listContains(const std::string &list, const std::string &item) {
  return ("," + list + ",").find("," + item + ",") != std::string::npos;
}

void readDuty(ParseContext &context, DutySettings &duty) {
  duty.UsageReporting =
      listContains(platform::stringMember(context.Root, "duties").value_or(""),
                   "usage_reporting");
  readNumber(context, "duty_calls_per_second", duty.CallsPerSecond);
  readDuration(context, "duty_lease", duty.Lease);
  readDuration(context, "duty_lease_margin", duty.LeaseMargin);
  readSwitch(context, "duty_fencing", "true", "false", duty.Fencing);
  readDuration(context, "usage_window", duty.UsageWindow);
  readDuration(context, "usage_due", duty.UsageDue);
  if (!duty.UsageReporting)
    return;
  duty.PlatformApiAddress = requiredEndpoint(context, "platform_api_address");
  // Counts are settled 3 s after a window, when VMs must still keep it.
  constexpr Millis MinUsageWindow(1000);
  if (duty.UsageWindow < MinUsageWindow)
    addFinding(context, "usage_window",
               "must be at least 1s for usage_reporting");
  if (duty.LeaseMargin >= duty.Lease)
    addFinding(context, "duty_lease_margin", "must be below duty_lease");
}

} // namespace

std::string readSettingsFile(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream out;
  // Unlike an iterator of the buffer, the operator throws nothing when reading
  // fails, as it does for a folder.
  out << in.rdbuf();
  return in && out ? out.str() : "";
}

VmSettings readVmSettings(const std::string &file, const std::string &text,
                          Findings &findings) {
  VmSettings settings;
  Json::CharReaderBuilder builder;
  builder["rejectDupKeys"] = true;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string error;
  bool parsed = false;
  try {
    parsed =
        reader->parse(text.data(), text.data() + text.size(), &root, &error);
  } catch (const Json::Exception &it) {
    error = it.what(); // Nested too deeply.
  }
  if (!parsed || !root.isObject()) {
    findings.push_back({file, 1, "", "not a JSON object: " + error});
    return settings;
  }
  ParseContext context{root, file, text, findings};
  for (const std::string &it : root.getMemberNames())
    if (!KnownSettings.count(it))
      addFinding(context, it, "is not a known setting");
  settings.Vm = VmId(savorylb::requiredString(context, "vm"));
  settings.Zone = ZoneId(savorylb::requiredString(context, "zone"));
  settings.Region = RegionId(savorylb::requiredString(context, "region"));
  settings.Address = savorylb::requiredString(context, "address");
  settings.CallerAddress = requiredEndpoint(context, "caller_address");
  settings.ReadyAddress = requiredEndpoint(context, "ready_address");
  settings.LookupAddress = requiredEndpoint(context, "lookup_address");
  settings.StoreAddress = requiredEndpoint(context, "store_address");
  const Json::Value &zones = platform::member(root, "zones");
  if (!zones.isObject())
    addFinding(context, "zones",
               "must be an object that maps zones to regions");
  else
    for (const std::string &it : zones.getMemberNames())
      settings.Zones[ZoneId(it)] =
          RegionId(platform::stringMember(zones, it.c_str()).value_or(""));
  settings.Zones[settings.Zone] = settings.Region;
  double port = 0;
  readNumber(context, "peer_port", port);
  settings.PeerPort = static_cast<int>(port);
  if (settings.PeerPort <= 0 || settings.PeerPort > 65535)
    addFinding(context, "peer_port", "must be a port from 1 to 65535");
  readDuration(context, "min_lease", settings.MinLease);
  readDuration(context, "lookup_max_age", settings.LookupMaxAge);
  readDuration(context, "stop_grace", settings.StopGrace);
  readDuration(context, "repeat_window", settings.RetryBudgetWindow);
  readNumber(context, "repeat_ratio", settings.RetryBudgetRatio);
  readNumber(context, "repeat_slack", settings.RetryBudgetSlack);
  readNumber(context, "trial_share", settings.MaxBadShare);
  readNumber(context, "trial_slack", settings.MaxBadSlack);
  readDuty(context, settings.Duty);
  readDuration(context, "load_report_interval", settings.LoadReportInterval);
  readCount(context, "object_replicas", settings.ObjectReplicas);
  readCount(context, "cached_objects", settings.CachedObjects);
  readSwitch(context, "overload_control", "on", "off",
             settings.OverloadControl);
  readSwitch(context, "compress_reports", "on", "off",
             settings.CompressReports);
  if (settings.MaxBadShare > 1)
    addFinding(context, "trial_share", "must be a number from 0 to 1");
  return settings;
}

} // namespace savorylb
