#ifndef SAVORYLB_SAVORYLBD_ONCE_PERMIT_H
#define SAVORYLB_SAVORYLBD_ONCE_PERMIT_H

#include "peer_address.h"
#include "savorylb/once_home.h"

#include <cstdint>

namespace savorylb {

/// Permission from the home VM to run an at-most-once request.
struct OncePermit {
  OnceHome Home;
  PeerAddress HomeVm;
  /// Number of the ledger entry.
  std::uint64_t Number = 0;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_PERMIT_H
