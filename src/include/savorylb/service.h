#ifndef SAVORYLB_SERVICE_H
#define SAVORYLB_SERVICE_H

#include "savorylb/execution.h"
#include "savorylb/ids.h"
#include "savorylb/target_spec.h"
#include "savorylb/units.h"

#include <vector>

namespace savorylb {

/// Configuration of a service and its targets.
struct ServiceSpec {
  ServiceId Name;
  Execution Mode = Execution::Idempotent;
  /// Accepts requests without a key and charges them to OpenTeam.
  bool Open = false;
  TeamId OpenTeam;
  /// Allows requests to go to another region when this one has no free slots.
  bool Spill = true;
  /// Longest time that a request may run on a target.
  Duration MaxTime = Seconds(5);
  ByteCount MaxBody{64LL * 1024 * 1024};
  /// Time over which a cold target goes from one slot to all of its slots.
  Duration WarmUp = Seconds(0);
  int QueueLength = 64;
  /// Rejects a response that does not echo the request's X-Attempt-Nonce; a
  /// wrong nonce is always rejected.
  bool RequireEcho = false;
  std::vector<TargetSpec> Targets;
};

} // namespace savorylb

#endif // SAVORYLB_SERVICE_H
