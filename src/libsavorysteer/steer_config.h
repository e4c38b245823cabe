#ifndef SAVORYLB_STEER_CONFIG_H
#define SAVORYLB_STEER_CONFIG_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorylb {

/// Whether a request may be executed again after an attempt with an unknown
/// outcome.
enum class RepeatRule { Repeatable, AtMostOnce };

/// One service of a route and its part of the route's requests.
struct RouteSplit {
  ServiceId Service;
  /// Relative to the sum over the route's splits.
  double Weight = 1;
};

/// Which requests go to which services, and how they are treated.
struct RouteRule {
  RouteId Id;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RepeatRule Repeat = RepeatRule::AtMostOnce;
  /// The longest time that a caller is kept waiting.
  Millis Timeout{0};
  /// A response within this time has its full value for the caller.
  Millis LatencyTarget{0};
  /// 0 is the most urgent.
  int Priority = 0;
  std::vector<RouteSplit> Splits;
  /// Most targets that one request may be sent to.
  int MaxTargets = 1;
  /// Requests need no key.
  bool Open = false;
  /// Targets answer faster for objects that they handled recently.
  bool Affinity = false;
  /// Regions that may serve the requests; empty for all.
  std::vector<RegionId> Homes;
};

/// Limits of a service's targets.
struct ServiceRule {
  /// Connections that a target accepts from all VMs together.
  int MaxConnections = 0;
  /// How long a target that started during traffic stays cold.
  Millis Warmup{0};
  /// Requests a second that a cold target bears from all VMs together.
  double WarmupPerSecond = 0;
};

/// A team's share of the system.
struct TeamRule {
  /// Goes before the route's priority; below 0 when the team has none.
  int Priority = -1;
  /// Over all VMs; 0 for no limit.
  double RequestsPerSecond = 0;
  double Burst = 0;
  std::vector<RegionId> Homes;
};

/// What a caller may send, and how long it may take.
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
  /// Team of each key.
  std::unordered_map<std::string, TeamId> Keys;
  /// Requests need a key, except on open routes.
  bool KeysRequired = false;
  CallerLimits Limits;
};

/// \param config the configuration.
/// \param host the request's host without a port.
/// \param path the request's path, with or without a query.
/// \returns the host's route with the longest prefix of the path, or null.
const RouteRule *findRoute(const SteerConfig &config, const std::string &host,
                           const std::string &path);

/// \param route the request's route.
/// \param team the request's team, null when it has none.
/// \param region a target's region.
/// \returns whether the homes of both allow the region.
bool regionAllowed(const RouteRule &route, const TeamRule *team,
                   const RegionId &region);

/// \returns the priority that counts for a request, 0 for the most urgent.
int requestPriority(const RouteRule &route, const TeamRule *team);

} // namespace savorylb

#endif // SAVORYLB_STEER_CONFIG_H
