#include "config_parts.h"

#include "config_template.h"

#include <utility>

namespace savorylb {

namespace {

// Requests a second, or requests in a burst. The product with a share of up to
// 1e6 ppm is in micro-tokens and fits in 64 bits.
constexpr std::int64_t MaxRateOrBurst = 1'000'000;
constexpr int MaxWeight = 1000;

std::vector<std::string> readReferences(JsonFields &fields,
                                        const std::string &field,
                                        const char *kind,
                                        const std::set<std::string> &known) {
  std::vector<std::string> out = fields.names(field, Need::Required);
  const Json::Value *list = fields.list(field, Need::Optional);
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i)
    checkKnown(fields.source(), (*list)[i], fields.pathOf(field, i), out[i],
               kind, known);
  return out;
}

void readLimits(JsonFields &fields, const ConfigNames &names, TeamSpec &out) {
  out.Rate = fields.integer("rate", Need::Required, 1, 1, MaxRateOrBurst);
  out.Burst = fields.integer("burst", Need::Required, 1, 1, MaxRateOrBurst);
  out.Weight = static_cast<int>(
      fields.integer("weight", Need::Optional, 1, 1, MaxWeight));
  for (std::string &it :
       readReferences(fields, "regions", "region", names.Regions))
    out.Regions.emplace_back(std::move(it));
  for (std::string &it :
       readReferences(fields, "services", "service", names.Services))
    out.Services.emplace_back(std::move(it));
}

// Findings in rendered fields have the path of the team; a value that comes
// from the template has its line in the template.
void readFromTemplate(JsonFields &team, const std::string &name,
                      const Json::Value *templates, const ConfigNames &names,
                      TeamSpec &out) {
  Json::Value noParameters(Json::objectValue);
  noParameters.setOffsetStart(team.value().getOffsetStart());
  const Json::Value *parameters = team.object("parameters", Need::Optional);
  const Json::Value *body =
      templates ? templates->find(name.data(), name.data() + name.size())
                : nullptr;
  if (!body) {
    std::vector<std::string> known;
    if (templates)
      known = templates->getMemberNames();
    team.report("template",
                "unknown template \"" + name + "\"" + suggestName(name, known));
    return;
  }
  std::set<std::string> used;
  const Json::Value &given = parameters ? *parameters : noParameters;
  std::size_t before = team.source().Found->size();
  Json::Value rendered = renderTemplate(team.source(), *body, given,
                                        team.pathOf("parameters"), used);
  for (const std::string &it : given.getMemberNames())
    if (used.count(it) == 0)
      addFinding(team.source(), given[it], team.pathOf("parameters") + "." + it,
                 "parameter is not used by template \"" + name + "\"");
  // A reference to a missing parameter remains in the rendered template and
  // would cause a second finding.
  if (team.source().Found->size() != before)
    return;
  JsonFields fields(team.source(), rendered, team.path());
  readLimits(fields, names, out);
  fields.reportUnknownFields();
}

TeamSpec readTeam(JsonFields &fields, const Json::Value *templates,
                  const ConfigNames &names) {
  TeamSpec out;
  out.Name = TeamId(fields.name("name", Need::Required));
  std::string name = fields.name("template", Need::Optional);
  if (name.empty())
    readLimits(fields, names, out);
  else
    readFromTemplate(fields, name, templates, names, out);
  fields.reportUnknownFields();
  return out;
}

} // namespace

void readTeams(JsonFields &root, const ConfigNames &names, Config &out) {
  const Json::Value *templates = root.object("templates", Need::Optional);
  const Json::Value *list = root.list("teams", Need::Required);
  std::set<std::string> seen;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("teams", i));
    TeamSpec team = readTeam(fields, templates, names);
    checkUnique(fields, "name", team.Name.Value, seen);
    out.Teams.push_back(std::move(team));
  }
}

} // namespace savorylb
