#include "savorylb/rollout.h"

#include "json_object.h"

#include <array>
#include <json/json.h>
#include <memory>
#include <utility>

namespace savorylb {

namespace {

constexpr std::array<std::pair<RolloutPhase, const char *>, 5> PhaseNames{
    {{RolloutPhase::Waiting, "waiting"},
     {RolloutPhase::Running, "running"},
     {RolloutPhase::Late, "late"},
     {RolloutPhase::Done, "done"},
     {RolloutPhase::RolledBack, "taken_back"}}};

const char *nameOf(RolloutPhase phase) {
  for (const auto &item : PhaseNames)
    if (item.first == phase)
      return item.second;
  return "waiting";
}

bool parsePhase(const std::string &text, RolloutPhase &phase) {
  for (const auto &item : PhaseNames)
    if (text == item.second) {
      phase = item.first;
      return true;
    }
  return false;
}

auto malformed(const std::string &what) {
  return failure(ErrorCode::Malformed, "rollout: " + what);
}

} // namespace

std::string formatRolloutRecord(const RolloutRecord &record) {
  Json::Value root;
  root["id"] = record.Name.Value;
  root["service"] = record.Service.Value;
  root["from"] = record.From.Value;
  root["to"] = record.To.Value;
  root["revision"] = Json::Int64(record.Rev.Value);
  root["state"] = nameOf(record.Phase);
  root["sharePpm"] = Json::Int64(record.Share.Value);
  root["proven"] = record.Proven;
  root["raisedAtMs"] = Json::Int64(record.RaisedAt.time_since_epoch().count());
  root["reason"] = record.Reason;
  root["takenBack"] = Json::Value(Json::arrayValue);
  for (const VersionId &it : record.RolledBackVersions)
    root["takenBack"].append(it.Value);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

Result<RolloutRecord> parseRolloutRecord(const std::string &text) {
  Result<Json::Value> parsed = readJsonObject(text);
  if (!parsed)
    return malformed(parsed.error().Message);
  const Json::Value &root = parsed.value();
  for (const char *name : {"id", "service", "state"})
    if (!root[name].isString() || root[name].asString().empty())
      return malformed(std::string(name) + " must be a non-empty string");
  for (const char *name : {"revision", "sharePpm", "raisedAtMs"})
    if (!root[name].isInt64())
      return malformed(std::string(name) + " must be an integer");
  if (!root["proven"].isBool())
    return malformed("proven must be true or false");
  for (const char *name : {"reason", "from", "to"})
    if (root.isMember(name) && !root[name].isString())
      return malformed(std::string(name) + " must be a string");
  RolloutRecord record;
  if (root.isMember("takenBack") && !root["takenBack"].isArray())
    return malformed("takenBack must be a list");
  for (const Json::Value &it : root["takenBack"]) {
    if (!it.isString())
      return malformed("takenBack must hold versions");
    record.RolledBackVersions.insert(VersionId(it.asString()));
  }
  if (!parsePhase(root["state"].asString(), record.Phase))
    return malformed("unknown state " + root["state"].asString());
  record.Share = Ppm(root["sharePpm"].asInt64());
  if (record.Share < Ppm(0) || record.Share > WholePpm)
    return malformed("sharePpm must be from 0 to 1000000");
  record.Rev = Revision(root["revision"].asInt64());
  if (record.Rev < Revision(1))
    return malformed("revision must be positive");
  record.Name = RolloutId(root["id"].asString());
  record.Service = ServiceId(root["service"].asString());
  record.From = VersionId(root["from"].asString());
  record.To = VersionId(root["to"].asString());
  record.Proven = root["proven"].asBool();
  record.RaisedAt = WallTime(Millis(root["raisedAtMs"].asInt64()));
  record.Reason = root["reason"].asString();
  return record;
}

} // namespace savorylb
