#include "request_story.h"

#include <algorithm>
#include <json/json.h>
#include <memory>
#include <set>

namespace savorylb {
namespace {

/// Events of targets and VMs this long before and after a request belong to
/// its story. A target that ended leaves the store within its lease of some
/// seconds.
constexpr std::int64_t NearMs = 5000;

/// Events of a VM that explain how it treated a request.
const std::set<std::string> VmEvents = {
    "pause_noticed",   "store_unreachable", "store_reachable",
    "daemon_started",  "daemon_ready",      "drain_started",
    "daemon_stopped",  "peer_down",         "peer_up",
    "config_in_force", "settings_reloaded", "document_rejected"};
/// Events that change which targets all requests of a service may use.
const std::set<std::string> FleetEvents = {
    "rollout_ordered", "rollout_stepped",    "rollout_taken_back",
    "rollout_stopped", "evacuation_started", "evacuation_ended"};

struct LogLine {
  StoryLine Shown;
  Json::Value Fields;
};

std::string text(const Json::Value &fields, const char *name) {
  const Json::Value &it = fields[name];
  return it.isString() ? it.asString() : "";
}

double number(const Json::Value &fields, const char *name) {
  const Json::Value &it = fields[name];
  return it.isNumeric() ? it.asDouble() : 0;
}

std::string milliseconds(double value) {
  return std::to_string(static_cast<long>(value)) + " ms";
}

std::string showFields(const Json::Value &fields) {
  static const std::set<std::string> told = {"time_ms", "event", "name", "vm",
                                             "trace"};
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = 6;
  std::string out;
  for (const std::string &it : fields.getMemberNames()) {
    if (told.count(it))
      continue;
    const Json::Value &value = fields[it];
    out += (out.empty() ? "" : " ") + it + "=" +
           (value.isString() ? value.asString()
                             : Json::writeString(builder, value));
  }
  return out;
}

LogLine makeLine(const Json::Value &fields, bool own) {
  LogLine line;
  line.Fields = fields;
  line.Shown.TimeMs = static_cast<std::int64_t>(number(fields, "time_ms"));
  line.Shown.Vm = text(fields, "vm");
  line.Shown.Name = text(fields, "name");
  line.Shown.Fields = showFields(fields);
  line.Shown.Own = own;
  return line;
}

bool isRequestEvent(const std::string &name) {
  return name.compare(0, 8, "request_") == 0;
}

/// \returns how soon after a request its target left, or -1.
std::int64_t targetLeftAfter(const std::vector<LogLine> &lines,
                             const std::string &target, std::int64_t after) {
  for (const LogLine &it : lines) {
    std::string reason = text(it.Fields, "reason");
    if (it.Shown.TimeMs >= after - NearMs &&
        text(it.Fields, "target") == target &&
        ((it.Shown.Name == "target_down" && reason != "draining") ||
         (it.Shown.Name == "target_up" && reason == "restarted")))
      return std::max<std::int64_t>(0, it.Shown.TimeMs - after);
  }
  return -1;
}

bool has(const std::vector<LogLine> &lines, const std::string &name) {
  return std::any_of(lines.begin(), lines.end(),
                     [&](const LogLine &it) { return it.Shown.Name == name; });
}

std::string refusalCause(const std::vector<LogLine> &lines,
                         const Json::Value &end) {
  std::string reason = text(end, "reason");
  std::string service = text(end, "service");
  if (reason == "overload")
    return "The targets of " + service +
           " had no free slot, and the best one " +
           "would have answered after " +
           milliseconds(number(end, "expected_ms")) + ", which is too late.";
  if (reason == "team-limit")
    return "Team " + text(end, "team") + " was over its limit" +
           (has(lines, "peer_down")
                ? "; a VM that may count for it had just ended."
                : ".");
  if (reason == "no-target")
    return std::string("No target of ") + service + " could be used" +
           (has(lines, "evacuation_started") ? "; a zone was evacuated."
            : has(lines, "target_down")      ? "; targets had just left."
                                             : ".");
  if (reason == "shed")
    return "All targets that were tried refused it without running it, and no "
           "further try was allowed.";
  if (reason == "not-ready" || reason == "no-configuration")
    return "The VM had started and knew no configuration and targets yet" +
           std::string(has(lines, "store_unreachable")
                           ? "; it did not reach the store."
                           : ".");
  if (reason == "unknown-key")
    return "The caller's key is not in the configuration in force, version " +
           end["config"].asString() + ".";
  return "Refused: " + reason + ".";
}

std::string unknownCause(const std::vector<LogLine> &lines,
                         const LogLine &end) {
  std::string reason = text(end.Fields, "reason");
  std::string target = text(end.Fields, "target");
  std::int64_t left = targetLeftAfter(lines, target, end.Shown.TimeMs);
  std::string ended = left >= 0
                          ? " " + target + " left the store " +
                                milliseconds(static_cast<double>(left)) +
                                " later, so it had crashed or restarted."
                          : " " + target +
                                " stayed in the store, so the answer was lost "
                                "on the way.";
  if (reason == "broken")
    return "The connection to " + target + " ended before its answer." + ended;
  if (reason == "not-its-own")
    return target + " sent an answer that was not its own or was recoded.";
  if (reason == "timeout") {
    std::string cause =
        "No answer of " + target + " after " +
        milliseconds(number(end.Fields, "total_us") / 1000) + "; expected " +
        milliseconds(number(end.Fields, "expected_ms")) + " with " +
        std::to_string(static_cast<long>(number(end.Fields, "load_at_send"))) +
        " other requests there.";
    if (has(lines, "pause_noticed"))
      return cause + " The VM itself stood still.";
    return cause + (left >= 0 ? ended : " " + target + " was slow or silent.");
  }
  return "Failed: " + reason + ".";
}

std::string findCause(const std::vector<LogLine> &lines) {
  const LogLine *end = nullptr;
  int sends = 0;
  for (const LogLine &it : lines) {
    if (!it.Shown.Own)
      continue;
    if (it.Shown.Name == "request_retried")
      ++sends;
    else
      end = &it;
  }
  if (!end)
    return "No log has the end of the request: its VM was killed, or lines of "
           "served requests were left out.";
  if (end->Shown.Name == "request_refused")
    return refusalCause(lines, end->Fields);
  if (end->Shown.Name == "request_unknown")
    return unknownCause(lines, *end);
  double tookMs = number(end->Fields, "total_us") / 1000;
  return "Answered with " + end->Fields["status"].asString() + " after " +
         milliseconds(tookMs) + " and " + std::to_string(sends) +
         " changes of target; expected " +
         milliseconds(number(end->Fields, "expected_ms")) + " at " +
         text(end->Fields, "target") + ".";
}

} // namespace

RequestStory tellRequest(std::istream &log, const std::string &trace) {
  RequestStory story;
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::vector<LogLine> own;
  std::vector<LogLine> others;
  std::string line;
  while (std::getline(log, line)) {
    Json::Value fields;
    if (!reader->parse(line.data(), line.data() + line.size(), &fields,
                       nullptr) ||
        !fields.isObject()) {
      ++story.Unreadable;
      continue;
    }
    if (text(fields, "trace") == trace)
      own.push_back(makeLine(fields, true));
    else if (!isRequestEvent(text(fields, "name")))
      others.push_back(makeLine(fields, false));
  }
  if (own.empty())
    return story;
  std::set<std::string> targets;
  std::set<std::string> vms;
  std::int64_t first = own.front().Shown.TimeMs;
  std::int64_t last = first;
  for (const LogLine &it : own) {
    targets.insert(text(it.Fields, "target"));
    vms.insert(it.Shown.Vm);
    auto took = static_cast<std::int64_t>(number(it.Fields, "total_us") / 1000);
    first = std::min(first, it.Shown.TimeMs - took);
    last = std::max(last, it.Shown.TimeMs);
  }
  targets.erase("");
  for (const LogLine &it : others) {
    const std::string &name = it.Shown.Name;
    bool near =
        it.Shown.TimeMs >= first - NearMs && it.Shown.TimeMs <= last + NearMs;
    bool related = targets.count(text(it.Fields, "target")) ||
                   (vms.count(it.Shown.Vm) && VmEvents.count(name)) ||
                   FleetEvents.count(name);
    if (near && related)
      own.push_back(it);
  }
  std::stable_sort(own.begin(), own.end(),
                   [](const LogLine &a, const LogLine &b) {
                     return a.Shown.TimeMs < b.Shown.TimeMs;
                   });
  story.Cause = findCause(own);
  for (const LogLine &it : own)
    story.Lines.push_back(it.Shown);
  return story;
}

} // namespace savorylb
