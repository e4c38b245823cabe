#ifndef SAVORYLB_SERVICE_H
#define SAVORYLB_SERVICE_H

#include "savorylb/execution.h"
#include "savorylb/ids.h"
#include "savorylb/target_spec.h"
#include "savorylb/units.h"

#include <vector>

namespace savorylb {

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
  ByteCount MaxBody{64LL * 1024 * 1024};
  /// Time over which a cold target is ramped from one slot to all.
  Duration WarmUp = Seconds(0);
  int QueueLength = 64;
  bool RequireEcho = false;
  std::vector<TargetSpec> Targets;
};

} // namespace savorylb

#endif // SAVORYLB_SERVICE_H
