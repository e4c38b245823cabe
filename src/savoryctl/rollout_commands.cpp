#include "rollout_commands.h"

#include "config_edit.h"
#include "json_text.h"
#include "store_keys.h"
#include "store_write.h"

#include "savorylb/active_version.h"
#include "savorylb/config.h"
#include "savorylb/rollout.h"

#include <utility>

namespace savorylb {

namespace {

const char *phaseName(RolloutPhase phase) {
  switch (phase) {
  case RolloutPhase::Waiting:
    return "waiting";
  case RolloutPhase::Running:
    return "running";
  case RolloutPhase::Late:
    return "late";
  case RolloutPhase::Done:
    return "done";
  case RolloutPhase::RolledBack:
    return "taken back";
  }
  return "unknown";
}

bool hasEnded(const RolloutRecord &record) {
  return record.Phase == RolloutPhase::Done ||
         record.Phase == RolloutPhase::RolledBack;
}

// \returns the record of the last rollout of a service, nothing if there is
// none.
Result<std::optional<RolloutRecord>>
readRolloutRecord(const ToolContext &context, const std::string &service) {
  Result<StoreValue> value = readDocument(context, RolloutPrefix + service);
  if (!value)
    return failure(value.error().Code, value.error().Message);
  if (value.value().Content.empty())
    return std::optional<RolloutRecord>();
  Result<RolloutRecord> record = parseRolloutRecord(value.value().Content);
  if (!record)
    return failure(record.error().Code, record.error().Message);
  return std::optional<RolloutRecord>(record.value());
}

ConfigEditResult addRollout(Json::Value &document, const Json::Value &rollout,
                            const std::optional<RolloutRecord> &record) {
  const std::string name = rollout["name"].asString();
  // Daemons ignore a new start under the name of an ended rollout, since a
  // phase never goes back.
  if (record && record->Name.Value == name && hasEnded(*record))
    return {ExitCode::Conflict,
            "rollout " + name + " has ended (" + phaseName(record->Phase) +
                "); start it under another name",
            false};
  Json::Value rollouts(Json::arrayValue);
  for (const Json::Value &it : document["rollouts"]) {
    if (it == rollout)
      return {ExitCode::Ok, "rollout " + name + " is configured", false};
    if (it["service"] != rollout["service"]) {
      rollouts.append(it);
      continue;
    }
    if (!record || record->Name.Value != it["name"].asString() ||
        !hasEnded(*record))
      return {ExitCode::Conflict,
              "rollout " + it["name"].asString() + " of service " +
                  it["service"].asString() + " has not ended",
              false};
  }
  rollouts.append(rollout);
  document["rollouts"] = rollouts;
  return {ExitCode::Ok, "rollout " + name + " is configured", true};
}

Json::Value rolloutToJson(const RolloutSpec &spec,
                          const std::optional<RolloutRecord> &record) {
  Json::Value out;
  out["name"] = spec.Name.Value;
  out["service"] = spec.Service.Value;
  out["from"] = spec.From.Value;
  out["to"] = spec.To.Value;
  out["deadline"] = formatUtc(spec.Deadline);
  // The record may belong to an earlier rollout of the service.
  bool matches = record && record->Name == spec.Name;
  out["state"] = matches ? phaseName(record->Phase) : "waiting";
  out["share_percent"] =
      matches ? static_cast<double>(record->Share.Value) / 10'000 : 0.0;
  if (matches) {
    out["proven"] = record->Proven;
    out["reason"] = record->Reason;
    out["revision"] = Json::Int64(record->Rev.Value);
  }
  return out;
}

// \returns the configuration in the store; NotFound if there is none.
Result<Config> readConfig(const ToolContext &context) {
  Result<StoreValue> value = readDocument(context, ConfigKey);
  if (!value)
    return failure(ErrorCode::Unavailable, value.error().Message);
  if (value.value().Content.empty())
    return failure(ErrorCode::NotFound, "the store holds no configuration");
  Findings findings;
  Config out = parseConfig(ConfigKey, value.value().Content, findings);
  if (!findings.empty())
    return failure(ErrorCode::Malformed, formatFindings(findings));
  return out;
}

// A rollout from a version other than the one in force would move all traffic
// to that version at once.
// \returns why the rollout must not start, or an empty string.
std::string checkStartVersion(const ToolContext &context,
                              const Json::Value &rollout,
                              const std::optional<RolloutRecord> &record) {
  Result<Config> config = readConfig(context);
  if (!config)
    return "";
  ServiceId name(rollout["service"].asString());
  const ServiceSpec *service = findService(config.value(), name);
  if (service == nullptr || !rollout["from"].isString())
    return "";
  VersionId inForce = activeVersion(*service, record ? &*record : nullptr);
  if (inForce.empty() || inForce.Value == rollout["from"].asString())
    return "";
  return "service " + name.Value + " runs " + inForce.Value +
         "; the from version of a rollout must be the same";
}

CommandResult errorResult(const Error &error) {
  if (error.Code == ErrorCode::NotFound)
    return makeResult(ExitCode::NotFound, error.Message);
  if (error.Code == ErrorCode::Malformed)
    return makeResult(ExitCode::Usage, error.Message);
  return makeResult(ExitCode::Unavailable, error.Message);
}

EditResult rollBack(const std::string &current, Revision next,
                    const RolloutSpec &spec) {
  RolloutRecord record;
  if (!current.empty()) {
    Result<RolloutRecord> parsed = parseRolloutRecord(current);
    if (!parsed)
      return {ExitCode::Usage, parsed.error().Message, {}};
    record = parsed.value();
  }
  const std::string message = "rollout " + spec.Name.Value + " is rolled back";
  if (record.Name != spec.Name) {
    std::set<VersionId> rolledBack = std::move(record.RolledBackVersions);
    record = RolloutRecord{};
    record.RolledBackVersions = std::move(rolledBack);
  } else if (record.Phase == RolloutPhase::RolledBack)
    return {ExitCode::Ok, message, {}};
  else if (record.Phase == RolloutPhase::Done)
    return {ExitCode::Conflict,
            "rollout " + spec.Name.Value +
                " is done; start a rollout to the old version instead",
            {}};
  record.Name = spec.Name;
  record.Service = spec.Service;
  record.From = spec.From;
  record.To = spec.To;
  record.RolledBackVersions.insert(spec.To);
  record.Rev = next;
  record.Phase = RolloutPhase::RolledBack;
  record.Share = Ppm(0);
  record.Reason = "operator";
  return {ExitCode::Ok, message, formatRolloutRecord(record)};
}

} // namespace

CommandResult startRollout(const ToolContext &context, const std::string &file,
                           const std::string &text,
                           const std::vector<std::string> &daemons) {
  Result<Json::Value> parsed = parseJsonText(text);
  if (!parsed || !parsed.value().isObject())
    return makeResult(ExitCode::Usage, file + ": expected a rollout object");
  Json::Value rollout = parsed.value();
  if (!rollout["name"].isString() || !rollout["service"].isString())
    return makeResult(ExitCode::Usage, file + ": name or service is missing");
  if (!rollout.isMember("start"))
    rollout["start"] = Json::Int64(context.Now().time_since_epoch().count());
  Result<std::optional<RolloutRecord>> record =
      readRolloutRecord(context, rollout["service"].asString());
  if (!record)
    return errorResult(record.error());
  std::string problem = checkStartVersion(context, rollout, record.value());
  if (!problem.empty())
    return makeResult(ExitCode::Conflict, problem);
  return editConfig(context, daemons, [&](Json::Value &document) {
    return addRollout(document, rollout, record.value());
  });
}

CommandResult showRollouts(const ToolContext &context) {
  Result<Config> config = readConfig(context);
  if (!config)
    return errorResult(config.error());
  CommandResult out;
  out.Data["rollouts"] = Json::Value(Json::arrayValue);
  for (const RolloutSpec &spec : config.value().Rollouts) {
    Result<std::optional<RolloutRecord>> record =
        readRolloutRecord(context, spec.Service.Value);
    if (!record)
      return errorResult(record.error());
    Json::Value status = rolloutToJson(spec, record.value());
    out.Text += spec.Name.Value + "  " + spec.Service.Value + "  " +
                spec.From.Value + " -> " + spec.To.Value + "  " +
                status["state"].asString() + "  " +
                writeCompact(status["share_percent"]) + "%  " +
                status["reason"].asString() + "\n";
    out.Data["rollouts"].append(status);
  }
  if (config.value().Rollouts.empty())
    out.Text = "no rollouts\n";
  return out;
}

CommandResult rollBackRollout(const ToolContext &context,
                              const std::string &name,
                              const std::vector<std::string> &daemons) {
  Result<Config> config = readConfig(context);
  if (!config)
    return errorResult(config.error());
  for (const RolloutSpec &spec : config.value().Rollouts)
    if (spec.Name.Value == name)
      return editDocument(context, RolloutPrefix + spec.Service.Value, daemons,
                          [&spec](const std::string &current, Revision next) {
                            return rollBack(current, next, spec);
                          });
  return makeResult(ExitCode::NotFound, "no rollout " + name);
}

} // namespace savorylb
