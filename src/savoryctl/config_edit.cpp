#include "config_edit.h"

#include "history.h"
#include "json_text.h"
#include "store_keys.h"

#include "savorylb/config.h"

namespace savorylb {

namespace {

EditResult applyConfigEdit(const std::string &current, Revision next,
                           const ConfigEditFunction &edit) {
  if (current.empty())
    return {ExitCode::NotFound, "the store holds no configuration", {}};
  Result<Json::Value> document = parseJsonText(current);
  if (!document || !document.value().isObject())
    return {ExitCode::Usage, "the store's configuration is not valid JSON", {}};
  ConfigEditResult result = edit(document.value());
  if (result.Code != ExitCode::Ok || !result.Changed)
    return {result.Code, result.Message, {}};
  document.value()["revision"] = Json::Int64(next.Value);
  Findings findings;
  std::string text = writeCompact(document.value());
  parseConfig("edited configuration", text, findings);
  if (!findings.empty())
    return {ExitCode::Usage, formatFindings(findings), {}};
  return {ExitCode::Ok, result.Message, text};
}

} // namespace

CommandResult editConfig(const ToolContext &context,
                         const std::vector<std::string> &daemons,
                         const ConfigEditFunction &edit) {
  CommandResult out =
      editDocument(context, ConfigKey, daemons,
                   [&edit](const std::string &current, Revision next) {
                     return applyConfigEdit(current, next, edit);
                   });
  if (out.Code == ExitCode::Ok && out.Data["changed"].asBool() &&
      !recordHistory(context, Revision(out.Data["revision"].asInt64())))
    addWarning(out, "the history could not be written");
  return out;
}

} // namespace savorylb
