#include "request_timeline.h"

#include <algorithm>
#include <json/json.h>
#include <memory>
#include <set>

namespace savorylb {
namespace {

/// Time before and after a request, in milliseconds, within which events of
/// targets and VMs are included. A target that crashed leaves the store when
/// its lease of a few seconds ends.
constexpr std::int64_t ContextWindowMs = 5000;

/// Events of a VM that explain how it treated a request.
const std::set<std::string> VmEvents = {
    "pause_noticed",   "store_unreachable", "store_reachable",
    "daemon_started",  "daemon_ready",      "drain_started",
    "daemon_stopped",  "peer_down",         "peer_up",
    "config_in_force", "settings_reloaded", "document_rejected"};
/// Events that change the set of targets that requests of a service may use.
const std::set<std::string> RoutingEvents = {
    "rollout_ordered", "rollout_stepped",    "rollout_taken_back",
    "rollout_stopped", "evacuation_started", "evacuation_ended"};

struct LogLine {
  TimelineEvent Event;
  Json::Value Fields;
};

std::string textField(const Json::Value &fields, const char *name) {
  const Json::Value &it = fields[name];
  return it.isString() ? it.asString() : "";
}

double numberField(const Json::Value &fields, const char *name) {
  const Json::Value &it = fields[name];
  return it.isNumeric() ? it.asDouble() : 0;
}

std::string formatMillis(double value) {
  return std::to_string(static_cast<long>(value)) + " ms";
}

std::string formatFields(const Json::Value &fields) {
  static const std::set<std::string> omitted = {"time_ms", "event", "name",
                                                "vm", "trace"};
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = 6;
  std::string out;
  for (const std::string &it : fields.getMemberNames()) {
    if (omitted.count(it))
      continue;
    const Json::Value &value = fields[it];
    out += (out.empty() ? "" : " ") + it + "=" +
           (value.isString() ? value.asString()
                             : Json::writeString(builder, value));
  }
  return out;
}

LogLine makeLogLine(const Json::Value &fields, bool ofRequest) {
  LogLine line;
  line.Fields = fields;
  line.Event.TimeMs = static_cast<std::int64_t>(numberField(fields, "time_ms"));
  line.Event.Vm = textField(fields, "vm");
  line.Event.Name = textField(fields, "name");
  line.Event.Fields = formatFields(fields);
  line.Event.OfRequest = ofRequest;
  return line;
}

bool isRequestEvent(const std::string &name) {
  return name.compare(0, 8, "request_") == 0;
}

/// \returns milliseconds from the end of a request until its target was
/// reported down (other than for draining) or restarted; 0 if that happened up
/// to ContextWindowMs earlier, -1 if it did neither.
std::int64_t targetDownAfterMs(const std::vector<LogLine> &lines,
                               const std::string &target, std::int64_t endMs) {
  for (const LogLine &it : lines) {
    std::string reason = textField(it.Fields, "reason");
    if (it.Event.TimeMs >= endMs - ContextWindowMs &&
        textField(it.Fields, "target") == target &&
        ((it.Event.Name == "target_down" && reason != "draining") ||
         (it.Event.Name == "target_up" && reason == "restarted")))
      return std::max<std::int64_t>(0, it.Event.TimeMs - endMs);
  }
  return -1;
}

bool hasEvent(const std::vector<LogLine> &lines, const std::string &name) {
  return std::any_of(lines.begin(), lines.end(),
                     [&](const LogLine &it) { return it.Event.Name == name; });
}

std::string refusalCause(const std::vector<LogLine> &lines,
                         const Json::Value &outcome) {
  std::string reason = textField(outcome, "reason");
  std::string service = textField(outcome, "service");
  if (reason == "overload")
    return "The targets of " + service +
           " had no free slot, and the best one " +
           "would have answered after " +
           formatMillis(numberField(outcome, "expected_ms")) +
           ", which is too late.";
  if (reason == "team-limit")
    return "Team " + textField(outcome, "team") + " was over its limit" +
           (hasEvent(lines, "peer_down")
                ? "; a VM that may hold part of the limit had just become "
                  "unreachable."
                : ".");
  if (reason == "no-target")
    return std::string("No target of ") + service + " could be used" +
           (hasEvent(lines, "evacuation_started") ? "; a zone was evacuated."
            : hasEvent(lines, "target_down") ? "; targets had just gone down."
                                             : ".");
  if (reason == "shed")
    return "Every target tried refused it without running it, and no further "
           "retry was allowed.";
  if (reason == "not-ready" || reason == "no-configuration")
    return "The VM had just started and knew no configuration or targets yet" +
           std::string(hasEvent(lines, "store_unreachable")
                           ? "; it could not reach the store."
                           : ".");
  if (reason == "stopping")
    return "The VM was stopping and would have cut it off; another VM can "
           "serve it.";
  if (reason == "unknown-key")
    return "The caller's key is not in the configuration in force, version " +
           outcome["config"].asString() + ".";
  return "Refused: " + reason + ".";
}

std::string unknownOutcomeCause(const std::vector<LogLine> &lines,
                                const LogLine &outcome) {
  std::string reason = textField(outcome.Fields, "reason");
  std::string target = textField(outcome.Fields, "target");
  std::int64_t downAfterMs =
      targetDownAfterMs(lines, target, outcome.Event.TimeMs);
  std::string targetState =
      downAfterMs >= 0
          ? " " + target + " was reported down or restarted " +
                formatMillis(static_cast<double>(downAfterMs)) +
                " later, so it had probably failed."
          : " " + target +
                " was not reported down, so the response was probably lost "
                "in transit.";
  if (reason == "broken")
    return "The connection to " + target +
           " was closed before its response arrived." + targetState;
  if (reason == "not-its-own")
    return target + " sent a response that was re-encoded or not signed.";
  if (reason == "stopping")
    return "The VM reached the end of its grace period while " + target +
           " worked on it.";
  if (reason == "timeout") {
    std::string cause =
        "No response from " + target + " after " +
        formatMillis(numberField(outcome.Fields, "total_us") / 1000) +
        "; expected " +
        formatMillis(numberField(outcome.Fields, "expected_ms")) + " with " +
        std::to_string(
            static_cast<long>(numberField(outcome.Fields, "load_at_send"))) +
        " other requests at the target.";
    if (hasEvent(lines, "pause_noticed"))
      return cause + " The VM itself was paused.";
    return cause + (downAfterMs >= 0 ? targetState
                                     : " " + target + " was slow or silent.");
  }
  return "Failed: " + reason + ".";
}

std::string findCause(const std::vector<LogLine> &lines) {
  const LogLine *outcome = nullptr;
  int retries = 0;
  for (const LogLine &it : lines) {
    if (!it.Event.OfRequest)
      continue;
    if (it.Event.Name == "request_retried")
      ++retries;
    else
      outcome = &it;
  }
  if (!outcome)
    return "No log contains the outcome of the request: its VM was killed, or "
           "log lines of served requests were omitted.";
  if (outcome->Event.Name == "request_refused")
    return refusalCause(lines, outcome->Fields);
  if (outcome->Event.Name == "request_unknown")
    return unknownOutcomeCause(lines, *outcome);
  double tookMs = numberField(outcome->Fields, "total_us") / 1000;
  return "Answered with status " + outcome->Fields["status"].asString() +
         " after " + formatMillis(tookMs) + " and " + std::to_string(retries) +
         " retries; expected " +
         formatMillis(numberField(outcome->Fields, "expected_ms")) + " at " +
         textField(outcome->Fields, "target") + ".";
}

} // namespace

RequestTimeline buildRequestTimeline(std::istream &log,
                                     const std::string &trace) {
  RequestTimeline timeline;
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::vector<LogLine> events;
  std::vector<LogLine> otherEvents;
  std::string line;
  while (std::getline(log, line)) {
    Json::Value fields;
    if (!reader->parse(line.data(), line.data() + line.size(), &fields,
                       nullptr) ||
        !fields.isObject()) {
      ++timeline.InvalidLines;
      continue;
    }
    if (textField(fields, "trace") == trace)
      events.push_back(makeLogLine(fields, true));
    else if (!isRequestEvent(textField(fields, "name")))
      otherEvents.push_back(makeLogLine(fields, false));
  }
  if (events.empty())
    return timeline;
  std::set<std::string> targets;
  std::set<std::string> vms;
  std::int64_t first = events.front().Event.TimeMs;
  std::int64_t last = first;
  for (const LogLine &it : events) {
    targets.insert(textField(it.Fields, "target"));
    vms.insert(it.Event.Vm);
    auto took =
        static_cast<std::int64_t>(numberField(it.Fields, "total_us") / 1000);
    first = std::min(first, it.Event.TimeMs - took);
    last = std::max(last, it.Event.TimeMs);
  }
  targets.erase("");
  for (const LogLine &it : otherEvents) {
    const std::string &name = it.Event.Name;
    bool inWindow = it.Event.TimeMs >= first - ContextWindowMs &&
                    it.Event.TimeMs <= last + ContextWindowMs;
    bool related = targets.count(textField(it.Fields, "target")) ||
                   (vms.count(it.Event.Vm) && VmEvents.count(name)) ||
                   RoutingEvents.count(name);
    if (inWindow && related)
      events.push_back(it);
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const LogLine &a, const LogLine &b) {
                     return a.Event.TimeMs < b.Event.TimeMs;
                   });
  timeline.Cause = findCause(events);
  for (const LogLine &it : events)
    timeline.Events.push_back(it.Event);
  return timeline;
}

} // namespace savorylb
