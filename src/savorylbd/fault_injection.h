#ifndef SAVORYLB_SAVORYLBD_FAULT_INJECTION_H
#define SAVORYLB_SAVORYLBD_FAULT_INJECTION_H

#include "savorylb/store_client.h"
#include "savorylb/units.h"

#include <mutex>
#include <set>
#include <string>

namespace savorylb {

struct Daemon;

/// Network partitions for tests, cut at the interfaces to peers and store. Only
/// in use when the settings allow it.
struct FaultInjection {
  std::mutex Lock;
  /// Peer endpoints whose messages are lost, both ways when each side blocks
  /// the other.
  std::set<std::string> BlockedPeers;
  bool StoreBlocked = false;
};

/// \returns true when messages to a peer endpoint are lost.
bool isPeerBlocked(Daemon &daemon, const std::string &endpoint);

/// Waits as a call does whose packets are dropped.
void loseCall(Duration timeout);

/// Replaces what is cut.
/// \param daemon the daemon.
/// \param peers peer endpoints, separated by commas.
/// \param store whether the store is cut off.
void setPartition(Daemon &daemon, const std::string &peers, bool store);

/// \returns a client that fails like a lost connection while the store is cut
/// off.
StoreClient partitionedStore(Daemon &daemon, const StoreClient &store);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_FAULT_INJECTION_H
