#ifndef SAVORYLB_CONFIG_H
#define SAVORYLB_CONFIG_H

#include "savorylb/block_spec.h"
#include "savorylb/error.h"
#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/link_spec.h"
#include "savorylb/region_spec.h"
#include "savorylb/rollout_spec.h"
#include "savorylb/service.h"
#include "savorylb/site_spec.h"
#include "savorylb/team.h"
#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// The whole configuration, with its templates rendered.
struct Config {
  Revision Rev;
  std::string Name;
  std::vector<RegionSpec> Regions;
  std::vector<LinkSpec> Links;
  std::vector<SiteSpec> Sites;
  std::vector<BlockSpec> Blocks;
  std::vector<ServiceSpec> Services;
  std::vector<TeamSpec> Teams;
  std::vector<RolloutSpec> Rollouts;
};

/// Parses and validates a configuration and renders its templates.
/// \param file file name used in findings.
/// \param text JSON with comments.
/// \param findings receives all errors, with line and path.
/// \returns the configuration; valid only if nothing was added to findings.
Config parseConfig(const std::string &file, const std::string &text,
                   Findings &findings);

/// \returns the service, or null.
const ServiceSpec *findService(const Config &config, const ServiceId &name);
/// \returns the team, or null.
const TeamSpec *findTeam(const Config &config, const TeamId &name);
/// \returns the region that a zone belongs to, empty when unknown.
RegionId regionOf(const Config &config, const ZoneId &zone);
/// \returns all zones of all regions in the order of the configuration.
std::vector<ZoneId> allZones(const Config &config);

} // namespace savorylb

#endif // SAVORYLB_CONFIG_H
