#ifndef SAVORYLB_SAVORYLBD_HEARTBEAT_PEERS_H
#define SAVORYLB_SAVORYLBD_HEARTBEAT_PEERS_H

#include "peer_calls.h"

#include <vector>

namespace savorylb {

/// A VM that may get a heartbeat.
struct HeartbeatPeer {
  PeerAddress Address;
  bool OwnZone = false;
  /// Calls to it fail, and it is not yet time to try again.
  bool Unreachable = false;
};

/// \returns all peers that this VM has heard of, those of the platform's list
/// and the seeds of the settings.
std::vector<HeartbeatPeer> knownPeers(Daemon &daemon);

/// Keeps the peers that get a heartbeat this time: one of the own zone if there
/// is one, and as many others as a fleet of this size needs.
/// \param peers all peers in random order.
void chooseHeartbeatPeers(std::vector<HeartbeatPeer> &peers);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HEARTBEAT_PEERS_H
