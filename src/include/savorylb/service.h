#ifndef SAVORYLB_SERVICE_H
#define SAVORYLB_SERVICE_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// How often a request of a service may run.
enum class Execution {
  /// Reads that may be retried on another target.
  Idempotent,
  /// Permits, bookings and the like: sent at most once per request identity.
  AtMostOnce,
};

/// One target as configured by operators.
struct TargetSpec {
  TargetId Name;
  ZoneId Zone;
  /// `host:port`.
  std::string Address;
  int Slots = 1;
  VersionId Version;
  bool Draining = false;
};

/// One service and its targets.
struct ServiceSpec {
  ServiceId Name;
  Execution Mode = Execution::Idempotent;
  /// Open services take requests without a key, charged to OpenTeam.
  bool Open = false;
  TeamId OpenTeam;
  /// Whether requests may go to another region when this one is full.
  bool Spill = true;
  /// Longest time a request may run on a target.
  Duration MaxTime = Seconds(5);
  ByteCount MaxBody{std::int64_t{64} * 1024 * 1024};
  /// Time over which a cold target is ramped from one slot to all.
  Duration WarmUp = Seconds(0);
  int QueueLength = 64;
  bool RequireEcho = false;
  std::vector<TargetSpec> Targets;
};

} // namespace savorylb

#endif // SAVORYLB_SERVICE_H
