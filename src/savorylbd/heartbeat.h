#ifndef SAVORYLB_SAVORYLBD_HEARTBEAT_H
#define SAVORYLB_SAVORYLBD_HEARTBEAT_H

#include "peer.pb.h"
#include "peer_calls.h"

namespace savorylb {

struct Daemon;

/// Sends heartbeats without waiting for the replies.
/// \param toAllPeers whether all known peers get one, as at the start of a
/// drain; otherwise a few are chosen.
void sendHeartbeats(Daemon &daemon, bool toAllPeers);

/// Applies a peer's heartbeat and fills the reply with the state known here.
void answerHeartbeat(Daemon &daemon, const peer::HeartbeatRequest &request,
                     peer::HeartbeatReply &reply);

/// Requests the full states of VMs for which only briefs were received.
void requestMissingStates(Daemon &daemon);

/// Reads documents from peers that reported higher revisions.
void pullNewerDocuments(Daemon &daemon);

/// Records that an incarnation is proved to have ended.
void recordProofOfDeath(Daemon &daemon, const VmId &vm,
                        const Incarnation &incarnation);

/// Requests a lease from a VM. A reply of another process than the expected one
/// is recorded as proof that the expected one has ended.
/// \param incarnation the incarnation that is expected to answer.
/// \returns true when the lease was granted.
bool requestLease(Daemon &daemon, const PeerAddress &peer,
                  const Incarnation &incarnation);

/// Renews the lease with the successor and with the VMs that an undecided write
/// may name as successor (Lease::Candidates), then probes members without
/// recent heartbeats for proof that they have ended.
void renewOwnLease(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HEARTBEAT_H
