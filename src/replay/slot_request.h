#ifndef SAVORYLB_REPLAY_SLOT_REQUEST_H
#define SAVORYLB_REPLAY_SLOT_REQUEST_H

#include "savorylb/units.h"

#include <cstddef>
#include <cstdint>

namespace savorylb::replay {

/// A request that needs a slot.
struct SlotRequest {
  std::uint64_t Number = 0;
  std::size_t Team = 0;
  /// Index of the forwarding VM.
  int Forwarder = 0;
  Duration Deadline{};
  Duration ServiceTime{};
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_SLOT_REQUEST_H
