#include "steer_config.h"

#include <algorithm>

namespace savorylb {
namespace {

bool allows(const std::vector<RegionId> &homes, const RegionId &region) {
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace

const RouteRule *findRoute(const SteerConfig &config, const std::string &host,
                           const std::string &path) {
  std::size_t end = std::min(path.find('?'), path.size());
  const RouteRule *best = nullptr;
  for (const RouteRule &it : config.Routes) {
    std::size_t n = it.PathPrefix.size();
    if (it.Host != host || n > end || path.compare(0, n, it.PathPrefix) != 0)
      continue;
    if (!best || n > best->PathPrefix.size())
      best = &it;
  }
  return best;
}

bool regionAllowed(const RouteRule &route, const TeamRule *team,
                   const RegionId &region) {
  return allows(route.HomeRegions, region) &&
         (!team || allows(team->HomeRegions, region));
}

int requestPriority(const RouteRule &route, const TeamRule *team) {
  return team && team->Priority >= 0 ? team->Priority : route.Priority;
}

} // namespace savorylb
