#include "config_parts.h"

#include <algorithm>
#include <utility>

namespace savorylb {

namespace {

std::vector<Ppm> readSteps(JsonFields &fields) {
  const Json::Value *list = fields.list("steps_percent", Need::Optional);
  if (!list)
    return {Ppm(10'000), Ppm(50'000), Ppm(200'000), Ppm(500'000), WholePpm};
  std::vector<Ppm> out;
  for (Json::ArrayIndex i = 0; i < list->size(); ++i) {
    std::string path = fields.pathOf("steps_percent", i);
    Ppm step = readPercent(fields.source(), (*list)[i], path);
    if (!out.empty() && step <= out.back())
      addFinding(fields.source(), (*list)[i], path,
                 "steps must be strictly increasing");
    out.push_back(step);
  }
  // A rollout is done at 100% and could never finish without that step.
  if (out.empty() || out.back() != WholePpm)
    fields.report("steps_percent", "the last step must be 100");
  return out;
}

void checkVersion(JsonFields &fields, const Config &config,
                  const RolloutSpec &rollout, const std::string &field,
                  const VersionId &version) {
  const ServiceSpec *service = findService(config, rollout.Service);
  if (!service || version.empty())
    return;
  bool found = std::any_of(
      service->Targets.begin(), service->Targets.end(),
      [&version](const TargetSpec &it) { return it.Version == version; });
  if (!found)
    fields.report(field, "no target of \"" + rollout.Service.Value +
                             "\" has version \"" + version.Value + "\"");
}

RolloutSpec readRollout(JsonFields &fields, const ConfigNames &names,
                        const Config &config) {
  RolloutSpec out;
  out.Name = RolloutId(fields.name("name", Need::Required));
  out.Service = ServiceId(fields.name("service", Need::Required));
  checkKnownField(fields, "service", out.Service.Value, "service",
                  names.Services);
  out.From = VersionId(fields.name("from", Need::Required));
  out.To = VersionId(fields.name("to", Need::Required));
  checkVersion(fields, config, out, "from", out.From);
  checkVersion(fields, config, out, "to", out.To);
  if (!out.To.empty() && out.To == out.From)
    fields.report("to", "same version as \"from\"");
  out.Cap = fields.percent("cap_percent", Need::Optional, out.Cap);
  out.Steps = readSteps(fields);
  out.Start = fields.time("start", Need::Required);
  out.Deadline = fields.time("deadline", Need::Required);
  if (out.Deadline <= out.Start)
    fields.report("deadline", "must be after \"start\"");
  fields.reportUnknownFields();
  return out;
}

} // namespace

void readRollouts(JsonFields &root, const ConfigNames &names, Config &out) {
  const Json::Value *list = root.list("rollouts", Need::Optional);
  std::set<std::string> seen;
  std::set<std::string> services;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("rollouts", i));
    RolloutSpec rollout = readRollout(fields, names, out);
    checkUnique(fields, "name", rollout.Name.Value, seen);
    // The state of a rollout is stored under the name of its service.
    if (!rollout.Service.empty() &&
        !services.insert(rollout.Service.Value).second)
      fields.report("service",
                    "\"" + rollout.Service.Value + "\" already has a rollout");
    out.Rollouts.push_back(std::move(rollout));
  }
}

} // namespace savorylb
