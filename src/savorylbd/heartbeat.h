#ifndef SAVORYLB_SAVORYLBD_HEARTBEAT_H
#define SAVORYLB_SAVORYLBD_HEARTBEAT_H

#include "peer.pb.h"
#include "peer_calls.h"

namespace savorylb {

struct Daemon;

/// Sends heartbeats to some peers without waiting for their replies.
/// \param everyone to all known peers, such as at the start of a planned stop.
void sendHeartbeats(Daemon &daemon, bool everyone);

/// Takes in a peer's heartbeat and answers with what this VM knows.
void answerHeartbeat(Daemon &daemon, const peer::HeartbeatRequest &request,
                     peer::HeartbeatReply &reply);

/// Asks peers for the whole states of VMs of which only briefs were heard.
void askForViews(Daemon &daemon);

/// Pulls documents of which peers hold higher revisions.
void pullNewerDocuments(Daemon &daemon);

/// Records proof that an incarnation is gone for good.
void noteProof(Daemon &daemon, const VmId &vm, const Incarnation &life);

/// Asks one VM for a lease.
/// \param daemon the daemon.
/// \param peer the VM.
/// \param life the incarnation that must answer.
/// \returns true when it was granted.
bool askForLease(Daemon &daemon, const PeerAddress &peer,
                 const Incarnation &life);

/// Asks the successor for a lease, and looks for proof of death of the
/// successor and of the VM that this one may take over.
void renewOwnLease(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HEARTBEAT_H
