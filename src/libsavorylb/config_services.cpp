#include "config_parts.h"

#include "endpoint.h"

#include <utility>

namespace savorylb {

namespace {

constexpr Duration MaxTimeLimit = Seconds(3600);
constexpr std::int64_t MaxBodyLimit = std::int64_t{1} << 40;
constexpr int MaxSlots = 100'000;

// Names and addresses of the targets of all services. Both must be unique:
// ownership is kept by target name, and each of two targets at one address
// would be assigned all of its slots.
struct SeenTargets {
  std::set<std::string> Names;
  std::set<std::string> Addresses;
};

TargetSpec readTarget(JsonFields &fields, const ConfigNames &names,
                      SeenTargets &seen) {
  TargetSpec out;
  out.Name = TargetId(fields.name("name", Need::Required));
  checkUnique(fields, "name", out.Name.Value, seen.Names);
  out.Zone = ZoneId(fields.name("zone", Need::Required));
  checkKnownField(fields, "zone", out.Zone.Value, "zone", names.Zones);
  out.Address = fields.text("address", Need::Required);
  if (!out.Address.empty() && !isEndpoint(out.Address))
    fields.report("address", "expected host:port");
  checkUnique(fields, "address", out.Address, seen.Addresses);
  out.Slots =
      static_cast<int>(fields.integer("slots", Need::Required, 1, 1, MaxSlots));
  out.Version = VersionId(fields.name("version", Need::Optional));
  out.Draining = fields.flag("draining", false);
  fields.reportUnknownFields();
  return out;
}

Execution readExecution(JsonFields &fields) {
  std::string text = fields.text("execution", Need::Required);
  if (text == "at-most-once")
    return Execution::AtMostOnce;
  if (!text.empty() && text != "idempotent")
    fields.report("execution",
                  "expected \"idempotent\" or \"at-most-once\", found \"" +
                      text + "\"");
  return Execution::Idempotent;
}

void readOpenTeam(JsonFields &fields, const ConfigNames &names,
                  ServiceSpec &out) {
  out.Open = fields.flag("open", false);
  out.OpenTeam = TeamId(fields.name("open_team", Need::Optional));
  checkKnownField(fields, "open_team", out.OpenTeam.Value, "team", names.Teams);
  if (out.Open && out.OpenTeam.empty())
    fields.report("open_team", "an open service needs a team to charge");
  if (!out.Open && !out.OpenTeam.empty())
    fields.report("open_team", "only allowed for an open service");
}

ServiceSpec readService(JsonFields &fields, const ConfigNames &names,
                        SeenTargets &seen) {
  ServiceSpec out;
  out.Name = ServiceId(fields.name("name", Need::Required));
  out.Mode = readExecution(fields);
  readOpenTeam(fields, names, out);
  out.Spill = fields.flag("spill", out.Spill);
  out.MaxTime = fields.millis("max_time_ms", Need::Optional, out.MaxTime,
                              Millis(1), MaxTimeLimit);
  out.MaxBody = ByteCount(fields.integer("max_body_bytes", Need::Optional,
                                         out.MaxBody.Value, 0, MaxBodyLimit));
  out.WarmUp = fields.millis("warm_up_ms", Need::Optional, out.WarmUp,
                             Duration(0), MaxTimeLimit);
  out.QueueLength = static_cast<int>(fields.integer(
      "queue_length", Need::Optional, out.QueueLength, 0, 1'000'000));
  out.RequireEcho = fields.flag("require_echo", out.RequireEcho);
  const Json::Value *list = fields.list("targets", Need::Required);
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields target(fields.source(), (*list)[i], fields.pathOf("targets", i));
    out.Targets.push_back(readTarget(target, names, seen));
  }
  fields.reportUnknownFields();
  return out;
}

} // namespace

void readServices(JsonFields &root, const ConfigNames &names, Config &out) {
  const Json::Value *list = root.list("services", Need::Required);
  std::set<std::string> seen;
  SeenTargets targets;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("services", i));
    ServiceSpec service = readService(fields, names, targets);
    checkUnique(fields, "name", service.Name.Value, seen);
    out.Services.push_back(std::move(service));
  }
}

} // namespace savorylb
