#ifndef SAVORYLB_SAVORYLBD_FAULT_INJECTION_H
#define SAVORYLB_SAVORYLBD_FAULT_INJECTION_H

#include "savorylb/store_client.h"
#include "savorylb/units.h"

#include <mutex>
#include <set>
#include <string>

namespace savorylb {

struct Daemon;

/// Simulated network partitions for tests, applied to calls to peers and the
/// store. Only in use when the settings allow it.
struct FaultInjection {
  std::mutex Lock;
  /// Peer endpoints to which messages are dropped. Messages are lost in both
  /// directions only when each side blocks the other.
  std::set<std::string> BlockedPeers;
  bool StoreBlocked = false;
};

/// \returns true when messages to a peer endpoint are dropped.
bool isPeerBlocked(Daemon &daemon, const std::string &endpoint);

/// Blocks like a call whose packets are dropped.
/// \param timeout timeout of the call; the wait may be shorter.
void simulateLostCall(Duration timeout);

/// Replaces the simulated network partition.
/// \param peers peer endpoints to block, separated by commas.
/// \param store whether to block the store.
void setPartition(Daemon &daemon, const std::string &peers, bool store);

/// \returns a client whose calls fail like those on a lost connection while the
/// store is blocked.
StoreClient partitionedStore(Daemon &daemon, const StoreClient &store);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_FAULT_INJECTION_H
