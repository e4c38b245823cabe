#include "explain_command.h"

#include "request_story.h"

namespace savorylb {

CommandResult explainRequest(std::istream &log, const std::string &trace) {
  RequestStory story = tellRequest(log, trace);
  if (story.Lines.empty())
    return makeResult(ExitCode::NotFound, "no line names request " + trace);
  CommandResult result;
  result.Data["trace"] = trace;
  result.Data["cause"] = story.Cause;
  std::int64_t start = story.Lines.front().TimeMs;
  for (const StoryLine &it : story.Lines) {
    Json::Value line;
    line["time_ms"] = Json::Int64(it.TimeMs);
    line["vm"] = it.Vm;
    line["name"] = it.Name;
    line["fields"] = it.Fields;
    line["own"] = it.Own;
    result.Data["lines"].append(line);
    result.Text += "+" + std::to_string(it.TimeMs - start) + " ms " + it.Vm +
                   (it.Own ? " * " : "   ") + it.Name + " " + it.Fields + "\n";
  }
  if (story.Unreadable > 0)
    addWarning(result,
               std::to_string(story.Unreadable) + " lines are not JSON");
  result.Text += "Cause: " + story.Cause + "\n";
  return result;
}

} // namespace savorylb
