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

/// Owned targets of one service and the requests that wait for them.
struct ServiceShard {
  std::mutex Lock;
  SlotTable Slots;
  FairQueue Queue;
  std::map<std::uint64_t, SlotWaiter *> Waiters;
  RetryBudget Retries;
  /// Smoothed size of a response, to reserve link bytes.
  std::int64_t ResponseBytes = 4096;
};

/// All services by name.
struct ServiceShards {
  std::shared_mutex Lock;
  std::map<ServiceId, std::shared_ptr<ServiceShard>> Services;
  std::map<TargetId, ServiceId> ServiceOfTarget;
};

/// \returns the shard of a service, null when it is not configured.
std::shared_ptr<ServiceShard> serviceShard(Daemon &daemon,
                                           const ServiceId &service);

/// Brings the slot tables in line with configuration and owner map.
void applyTargets(Daemon &daemon, const std::set<TargetId> &owned);

/// Grants a slot of an own target, waiting in the fair queue if asked to.
SlotAnswer acquireOwnSlot(Daemon &daemon, const SlotQuery &query);

/// Returns a slot of an own target and serves the queue.
void releaseOwnSlot(Daemon &daemon, const TargetId &target,
                    std::uint64_t number, SlotResult result, Duration took);

/// Expires grants and waiting requests, and serves the queues.
void tickServices(Daemon &daemon);

/// \returns free and total slots by service and version.
std::map<std::pair<ServiceId, VersionId>, PublishedLoad>
publishedLoads(Daemon &daemon);

/// \returns how many own grants a target still has.
std::size_t grantsInFlight(Daemon &daemon, const TargetId &target);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_SERVICE_SHARD_H
