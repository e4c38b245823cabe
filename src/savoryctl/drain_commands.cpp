#include "drain_commands.h"

#include "config_edit.h"
#include "json_text.h"

namespace savorylb {

namespace {

Json::Value *findNamed(Json::Value &list, const std::string &name) {
  if (!list.isArray())
    return nullptr;
  for (Json::Value &it : list)
    if (it.isObject() && it["name"] == name)
      return &it;
  return nullptr;
}

Json::Value *findDrainable(Json::Value &document, const DrainRequest &request) {
  if (request.Kind == DrainKind::Region)
    return findNamed(document["regions"], request.Name);
  for (Json::Value &service : document["services"])
    if (Json::Value *out = findNamed(service["targets"], request.Name))
      return out;
  return nullptr;
}

ConfigEditResult setDraining(Json::Value &document,
                             const DrainRequest &request) {
  const std::string kind =
      request.Kind == DrainKind::Region ? "region " : "target ";
  Json::Value *found = findDrainable(document, request);
  if (!found)
    return {ExitCode::NotFound, "no " + kind + request.Name, false};
  bool draining = !request.Undo;
  bool changed = found->get("draining", false) != Json::Value(draining);
  if (draining)
    (*found)["draining"] = true;
  else
    found->removeMember("draining");
  return {ExitCode::Ok,
          kind + request.Name +
              (draining ? " is draining" : " is no longer draining"),
          changed};
}

} // namespace

CommandResult drainInConfig(const ToolContext &context,
                            const DrainRequest &request) {
  return editConfig(context, request.Daemons, [&](Json::Value &document) {
    return setDraining(document, request);
  });
}

CommandResult drainVm(const ToolContext &context, const std::string &vm,
                      const std::string &admin) {
  Result<std::string> status = context.DaemonGet(admin, "/v1/status");
  if (!status)
    return makeResult(ExitCode::Unavailable,
                      "not drained: " + status.error().Message);
  // Prevents draining another VM because of a mistyped port.
  Result<Json::Value> parsed = parseJsonText(status.value());
  std::string name =
      parsed && parsed.value().isObject() && parsed.value()["vm"].isString()
          ? parsed.value()["vm"].asString()
          : "";
  if (name != vm)
    return makeResult(ExitCode::NotFound, "not drained: the daemon at " +
                                              admin + " is \"" + name + "\"");
  Result<std::string> answer = context.DaemonPost(admin, "/v1/drain");
  if (answer)
    return makeResult(ExitCode::Ok, "VM " + vm + " is draining");
  bool mayHaveTakenEffect = answer.error().Code == ErrorCode::Unknown ||
                            answer.error().Code == ErrorCode::Timeout;
  return makeResult(
      mayHaveTakenEffect ? ExitCode::Unknown : ExitCode::Unavailable,
      (mayHaveTakenEffect ? "outcome unknown: " : "not drained: ") +
          answer.error().Message);
}

} // namespace savorylb
