#ifndef SAVORYLB_CONFIG_H
#define SAVORYLB_CONFIG_H

#include "savorylb/error.h"
#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/rollout_spec.h"
#include "savorylb/service.h"
#include "savorylb/team.h"
#include "savorylb/units.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb {

/// A region and its availability zones.
struct RegionSpec {
  RegionId Name;
  std::vector<ZoneId> Zones;
  /// Operators move all traffic out of a draining region.
  bool Draining = false;
};

/// Capacity and delay between two regions, the same both ways.
struct LinkSpec {
  RegionId From;
  RegionId To;
  ByteCount BytesPerSecond;
  Duration Delay{};
};

/// A place where callers are, and how far each region is from it.
struct SiteSpec {
  SiteId Name;
  std::map<RegionId, Duration> Distance;
};

/// A block of client addresses that belongs to one site.
struct BlockSpec {
  /// CIDR notation, such as `10.1.0.0/16`.
  std::string Cidr;
  SiteId Site;
};

/// The whole configuration after its templates were rendered.
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

/// Parses and checks a configuration with its templates.
///
/// Comments are allowed. All mistakes are collected.
/// \param file name used in findings.
/// \param text JSON with comments.
/// \param findings receives every mistake, with line and path.
/// \returns the configuration; meaningless when there are findings.
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
