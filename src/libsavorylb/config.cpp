#include "savorylb/config.h"

#include "config_parts.h"

#include <limits>

namespace savorylb {

Config parseConfig(const std::string &file, const std::string &text,
                   Findings &findings) {
  Config out;
  JsonSource source = makeJsonSource(file, text, findings);
  std::optional<Json::Value> root = parseJson(source, text);
  if (!root)
    return out;
  ConfigNames names = collectNames(*root);
  JsonFields fields(source, *root, "");
  // Files written by operators need no revision; savoryctl sets it.
  out.Rev = Revision(fields.integer("revision", Need::Optional, 0, 0,
                                    std::numeric_limits<std::int64_t>::max()));
  out.Name = fields.text("name", Need::Optional);
  readNetwork(fields, names, out);
  readServices(fields, names, out);
  readTeams(fields, names, out);
  readRollouts(fields, names, out);
  fields.reportUnknownFields();
  return out;
}

const ServiceSpec *findService(const Config &config, const ServiceId &name) {
  for (const ServiceSpec &it : config.Services)
    if (it.Name == name)
      return &it;
  return nullptr;
}

const TeamSpec *findTeam(const Config &config, const TeamId &name) {
  for (const TeamSpec &it : config.Teams)
    if (it.Name == name)
      return &it;
  return nullptr;
}

RegionId regionOf(const Config &config, const ZoneId &zone) {
  for (const RegionSpec &region : config.Regions)
    for (const ZoneId &it : region.Zones)
      if (it == zone)
        return region.Name;
  return RegionId();
}

std::vector<ZoneId> allZones(const Config &config) {
  std::vector<ZoneId> out;
  for (const RegionSpec &region : config.Regions)
    out.insert(out.end(), region.Zones.begin(), region.Zones.end());
  return out;
}

} // namespace savorylb
