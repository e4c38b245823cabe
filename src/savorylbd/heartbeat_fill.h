#ifndef SAVORYLB_SAVORYLBD_HEARTBEAT_FILL_H
#define SAVORYLB_SAVORYLBD_HEARTBEAT_FILL_H

#include "peer.pb.h"
#include "savorylb/ids.h"

namespace savorylb {

struct Daemon;

/// Adds the revisions of all held documents.
void fillRevisions(
    Daemon &daemon,
    google::protobuf::RepeatedPtrField<peer::DocumentRevision> &out);

/// \returns a hash of the revisions of all documents held.
std::uint64_t revisionsHash(Daemon &daemon);

/// Fills a heartbeat with full states, for a peer that does not know this VM or
/// does not accept briefs.
void fillFullHeartbeat(Daemon &daemon, const VmId &receiver,
                       peer::HeartbeatRequest &out);
void fillFullHeartbeat(Daemon &daemon, const VmId &receiver,
                       peer::HeartbeatReply &out);

/// Fills a heartbeat with briefs, the compact form of states that the receiver
/// holds already.
void fillBriefHeartbeat(Daemon &daemon, const VmId &receiver,
                        peer::HeartbeatRequest &out);
void fillBriefHeartbeat(Daemon &daemon, const VmId &receiver,
                        peer::HeartbeatReply &out);

/// Adds the full states that a peer requested.
void fillRequestedStates(Daemon &daemon, const peer::HeartbeatRequest &request,
                         peer::HeartbeatReply &out);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HEARTBEAT_FILL_H
