#include "explain_command.h"

#include "request_timeline.h"

namespace savorylb {

CommandResult explainRequest(std::istream &log, const std::string &trace) {
  RequestTimeline timeline = buildRequestTimeline(log, trace);
  if (timeline.Events.empty())
    return makeResult(ExitCode::NotFound,
                      "no log line contains attempt id " + trace);
  CommandResult result;
  result.Data["trace"] = trace;
  result.Data["cause"] = timeline.Cause;
  std::int64_t start = timeline.Events.front().TimeMs;
  for (const TimelineEvent &it : timeline.Events) {
    Json::Value line;
    line["time_ms"] = Json::Int64(it.TimeMs);
    line["vm"] = it.Vm;
    line["name"] = it.Name;
    line["fields"] = it.Fields;
    line["own"] = it.OfRequest;
    result.Data["lines"].append(line);
    result.Text += "+" + std::to_string(it.TimeMs - start) + " ms " + it.Vm +
                   (it.OfRequest ? " * " : "   ") + it.Name + " " + it.Fields +
                   "\n";
  }
  if (timeline.InvalidLines > 0)
    addWarning(result,
               std::to_string(timeline.InvalidLines) + " lines are not JSON");
  result.Text += "Cause: " + timeline.Cause + "\n";
  return result;
}

} // namespace savorylb
