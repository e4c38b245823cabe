#ifndef SAVORYLB_SAVORYLBD_ONCE_PERMIT_H
#define SAVORYLB_SAVORYLBD_ONCE_PERMIT_H

#include "peer_address.h"
#include "savorylb/once_home.h"

#include <cstdint>

namespace savorylb {

/// Right to send an at-most-once request, given by its home VM.
struct OncePermit {
  OnceHome Home;
  PeerAddress HomeVm;
  std::uint64_t Number = 0;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_PERMIT_H
