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
  /// Record of the last rollout of each service, kept when the rollout is
  /// removed from the configuration.
  std::map<ServiceId, RolloutRecord> Records;
  /// Version that serves each service while it has no rollout.
  std::map<ServiceId, VersionId> ActiveVersions;
};

/// \returns the rollout of a service, or null.
std::shared_ptr<RolloutShard> findRollout(Daemon &daemon,
                                          const ServiceId &service);

/// Updates the rollouts for a newer configuration.
void applyRollouts(Daemon &daemon, const Config &config);

/// Adopts a newer record from the store.
void applyRolloutRecord(Daemon &daemon, const RolloutRecord &record);

/// Chooses the version of a request: by the share of the rollout, or the active
/// version when there is no rollout.
/// \returns the version, empty when the targets have none.
VersionId versionFor(Daemon &daemon, const ServiceId &service,
                     const RouteId &route);

/// \returns true when a version must not get new requests.
bool versionStopped(Daemon &daemon, const ServiceId &service,
                    const VersionId &version);

/// \returns the old version when the given one is the new version of an
/// unfinished rollout, otherwise empty. A fallback from the old version to the
/// new one would exceed the share.
VersionId fallbackVersion(Daemon &daemon, const ServiceId &service,
                          const VersionId &version);

/// Records the result of a request; stops the rollout, and tells all peers, if
/// a test finds the new version worse.
void observeRequest(Daemon &daemon, const ServiceId &service,
                    const RouteId &route, const VersionId &version, bool failed,
                    Duration took);

/// Writes the rollout records that are due, by compare-and-swap.
void runRolloutStep(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ROLLOUT_SHARDS_H
