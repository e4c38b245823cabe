#ifndef SAVORYLB_SAVORYLBD_SERVICE_SHARD_H
#define SAVORYLB_SAVORYLBD_SERVICE_SHARD_H

#include "savorylb/fair_queue.h"
#include "savorylb/retry_budget.h"
#include "savorylb/slot_table.h"
#include "savorylb/vm_view.h"
#include "slot_answer.h"
#include "slot_query.h"
#include "slot_waiter.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>

namespace savorylb {

struct Daemon;

/// Targets of one service that this VM owns, and the requests that wait for
/// them.
struct ServiceShard {
  std::mutex Lock;
  SlotTable Slots;
  FairQueue Queue;
  /// Waiting requests by their ticket in Queue.
  std::map<std::uint64_t, SlotWaiter *> Waiters;
  RetryBudget Retries;
  /// Smoothed size of a response in bytes, to reserve link bytes; the initial
  /// value is an assumption before the first response.
  std::int64_t MeanResponseBytes = 4096;
};

/// All services by name.
struct ServiceShards {
  std::shared_mutex Lock;
  std::map<ServiceId, std::shared_ptr<ServiceShard>> Services;
  std::map<TargetId, ServiceId> ServiceOfTarget;
};

/// \returns the shard of a service, or null when it is not configured.
std::shared_ptr<ServiceShard> serviceShard(Daemon &daemon,
                                           const ServiceId &service);

/// Updates the slot tables from the configuration and the owned targets.
void applyTargets(Daemon &daemon, const std::set<TargetId> &owned);

/// Grants a slot of an own target, waiting in the fair queue for up to
/// SlotQuery::MaxWait.
SlotAnswer acquireOwnSlot(Daemon &daemon, const SlotQuery &query);

/// Releases a slot of an own target and grants free slots to queued requests.
/// \param number the number of the grant.
/// \param took how long the request held the slot.
void releaseOwnSlot(Daemon &daemon, const TargetId &target,
                    std::uint64_t number, SlotResult result, Duration took);

/// Expires grants and queued requests, and grants free slots to the remaining
/// ones.
void tickServices(Daemon &daemon);

/// \returns free and total slots by service and version; each entry also
/// carries the length of the service's whole queue. Empty while this VM may not
/// use its resources.
std::map<std::pair<ServiceId, VersionId>, PublishedLoad>
publishedLoads(Daemon &daemon);

/// \returns the number of grants of an own target that have not ended.
std::size_t grantsInFlight(Daemon &daemon, const TargetId &target);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SERVICE_SHARD_H
