#ifndef SAVORYLB_STEER_CONFIG_H
#define SAVORYLB_STEER_CONFIG_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorylb {

/// Whether a request may be sent again after an attempt with an unknown
/// outcome.
enum class RetryRule { Retryable, AtMostOnce };

/// One service of a route and its share of the route's requests.
struct RouteSplit {
  ServiceId Service;
  /// Relative to the sum of the weights of the route's splits.
  double Weight = 1;
};

/// Matches requests by host and path prefix, and defines their services, limits
/// and retries.
struct RouteRule {
  RouteId Id;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RetryRule Retry = RetryRule::AtMostOnce;
  /// Maximum time until the caller gets a response.
  Millis Timeout{0};
  /// Response time up to which a response has its full value for the caller.
  Millis LatencyTarget{0};
  /// 0 is the most urgent.
  int Priority = 0;
  std::vector<RouteSplit> Splits;
  /// Maximum number of targets to which one request may be sent.
  int MaxTargets = 1;
  /// Requests need no tenant key.
  bool Public = false;
  /// Targets cache objects, so requests for an object prefer the same targets.
  bool Affinity = false;
  /// Regions that may serve the requests; empty for all.
  std::vector<RegionId> HomeRegions;
};

/// Limits of a service's targets.
struct ServiceRule {
  /// Connections that a target accepts, over all VMs; read from the
  /// configuration, not enforced.
  int MaxConnections = 0;
  /// How long the service's targets in a zone are cold, i.e. limited to
  /// WarmupPerSecond, after an evacuation of the zone ends. After a start, the
  /// target's entry gives the time (WarmupLeft).
  Millis Warmup{0};
  /// Requests per second that a cold target can serve, over all VMs.
  double WarmupPerSecond = 0;
};

/// Priority, rate limit and regions of a team.
struct TeamRule {
  /// Overrides the route's priority; below 0 if the team has none.
  int Priority = -1;
  /// Rate limit over all VMs; 0 for no limit.
  double RequestsPerSecond = 0;
  /// Size of the token bucket over all VMs.
  double Burst = 0;
  /// Regions that may serve the team; empty for all.
  std::vector<RegionId> HomeRegions;
};

/// Size and time limits for callers' requests.
struct CallerLimits {
  std::int64_t MaxHeaderBytes = 16384;
  std::int64_t MaxBodyBytes = 67108864;
  Millis HeaderTimeout{3000};
  Millis IdleTimeout{15000};
};

/// One version of the operators' configuration.
struct SteerConfig {
  std::int64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::map<ServiceId, ServiceRule> Services;
  std::map<TeamId, TeamRule> Teams;
  /// Team of each tenant key.
  std::unordered_map<std::string, TeamId> Keys;
  /// Requests need a known tenant key, except on public routes.
  bool KeysRequired = false;
  CallerLimits Limits;
};

/// Finds the route of a request.
/// \param host the request's host without a port.
/// \param path the request's path, with or without a query.
/// \returns the host's route with the longest matching path prefix, or null.
const RouteRule *findRoute(const SteerConfig &config, const std::string &host,
                           const std::string &path);

/// Checks the home regions of a request's route and team.
/// \param team the request's team, or null if it has none.
/// \param region a target's region.
/// \returns whether both allow the region.
bool regionAllowed(const RouteRule &route, const TeamRule *team,
                   const RegionId &region);

/// \returns the effective priority of a request, 0 for the most urgent.
int requestPriority(const RouteRule &route, const TeamRule *team);

} // namespace savorylb

#endif // SAVORYLB_STEER_CONFIG_H
