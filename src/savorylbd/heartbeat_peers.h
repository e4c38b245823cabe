#ifndef SAVORYLB_SAVORYLBD_HEARTBEAT_PEERS_H
#define SAVORYLB_SAVORYLBD_HEARTBEAT_PEERS_H

#include "peer_calls.h"

#include <vector>

namespace savorylb {

/// A VM that may be sent a heartbeat.
struct HeartbeatPeer {
  PeerAddress Address;
  bool OwnZone = false;
  /// Calls to it failed, and the time of the next attempt has not come.
  bool Unreachable = false;
};

/// \returns the peers from heartbeats, from the platform's VM list and from the
/// seeds in the settings.
std::vector<HeartbeatPeer> knownPeers(Daemon &daemon);

/// Reduces the list to the peers that are sent a heartbeat in this round: one
/// of the own zone if there is one, and a number of others that depends on the
/// size of the fleet.
/// \param peers all peers in random order.
void chooseHeartbeatPeers(std::vector<HeartbeatPeer> &peers);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HEARTBEAT_PEERS_H
