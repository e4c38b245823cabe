#include "daemon_status.h"

#include "json_text.h"
#include "status_text.h"

namespace savorylb {

namespace {

const std::string StatusPath = "/v1/status";
const std::string DocumentPrefix = "savory/v1/";

Result<Json::Value> readStatus(const ToolContext &context,
                               const std::string &daemon) {
  Result<std::string> body = context.DaemonGet(daemon, StatusPath);
  if (!body)
    return failure(body.error().Code, body.error().Message);
  Result<Json::Value> out = parseJsonText(body.value());
  if (out && !out.value().isObject())
    return failure(ErrorCode::Malformed, "status is not an object");
  return out;
}

} // namespace

HighestRevision queryHighestRevision(const ToolContext &context,
                                     const std::vector<std::string> &daemons,
                                     const std::string &key) {
  HighestRevision out;
  for (const std::string &it : daemons) {
    Result<Json::Value> status = readStatus(context, it);
    if (!status) {
      out.FailedDaemons.push_back(it);
      continue;
    }
    const Json::Value &revisions = status.value()["revisions"];
    if (!revisions.isObject())
      continue;
    // Accepts keys with and without the common prefix; savorylbd reports full
    // keys.
    for (const std::string &name :
         {key,
          key.substr(key.rfind(DocumentPrefix, 0) == 0 ? DocumentPrefix.size()
                                                       : 0)})
      if (revisions[name].isInt64() &&
          out.Rev < Revision(revisions[name].asInt64()))
        out.Rev = Revision(revisions[name].asInt64());
  }
  return out;
}

CommandResult showStatus(const ToolContext &context,
                         const std::vector<std::string> &daemons) {
  CommandResult out;
  out.Text = statusHeader();
  for (const std::string &it : daemons) {
    Result<Json::Value> status = readStatus(context, it);
    if (status) {
      out.Data["daemons"][it] = status.value();
      out.Text += statusLine(status.value());
      continue;
    }
    out.Code = ExitCode::Unavailable;
    out.Data["daemons"][it]["error"] = status.error().Message;
    out.Text += it + ": no status: " + status.error().Message + "\n";
  }
  return out;
}

} // namespace savorylb
