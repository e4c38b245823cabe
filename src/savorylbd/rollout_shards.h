#ifndef SAVORYLB_SAVORYLBD_ROLLOUT_SHARDS_H
#define SAVORYLB_SAVORYLBD_ROLLOUT_SHARDS_H

#include "rollout_shard.h"
#include "savorylb/config.h"
#include "savorylb/rollout.h"

#include <map>
#include <memory>
#include <mutex>

namespace savorylb {

struct Daemon;

/// Rollouts by service.
struct RolloutShards {
  std::mutex Lock;
  std::map<ServiceId, std::shared_ptr<RolloutShard>> Services;
  /// State of the last rollout of each service, kept when its entry leaves the
  /// configuration.
  std::map<ServiceId, RolloutRecord> Records;
  /// Version of each service without a rollout.
  std::map<ServiceId, VersionId> InForce;
};

/// \returns the rollout of a service, or null.
std::shared_ptr<RolloutShard> rolloutOf(Daemon &daemon,
                                        const ServiceId &service);

/// Brings rollouts in line with a newer configuration.
void applyRollouts(Daemon &daemon, const Config &config);

/// Adopts a newer record from the store.
void applyRolloutRecord(Daemon &daemon, const RolloutRecord &record);

/// Chooses the version of a request: by the share of the rollout, or the one in
/// force when there is none. Empty when the targets have no versions.
VersionId versionFor(Daemon &daemon, const ServiceId &service,
                     const RouteId &route);

/// \returns true when a version must not get new requests.
bool versionStopped(Daemon &daemon, const ServiceId &service,
                    const VersionId &version);

/// \returns the old version when a request of a rollout under way was meant for
/// the new one, else nothing. The other way would exceed the share.
VersionId fallbackVersion(Daemon &daemon, const ServiceId &service,
                          const VersionId &version);

/// Records how a request ended.
void observeRequest(Daemon &daemon, const ServiceId &service,
                    const RouteId &route, const VersionId &version, bool failed,
                    Duration took);

/// Writes the records that are due, by compare-and-swap.
void runRolloutStep(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ROLLOUT_SHARDS_H
