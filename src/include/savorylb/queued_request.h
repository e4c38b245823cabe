#ifndef SAVORYLB_QUEUED_REQUEST_H
#define SAVORYLB_QUEUED_REQUEST_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <cstdint>

namespace savorylb {

/// A request that waits for a slot.
struct QueuedRequest {
  std::uint64_t Ticket = 0;
  TeamId Team;
  int Weight = 1;
  VersionId Version;
  MonoTime EnqueuedAt{};
  /// Latest time at which the request can still use a slot.
  MonoTime ExpiresAt{};
  /// Start tag of start-time fair queueing, in virtual time.
  double StartTag = 0;
};

} // namespace savorylb

#endif // SAVORYLB_QUEUED_REQUEST_H
