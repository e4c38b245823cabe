#ifndef SAVORYLB_SAVORYLBD_HEARTBEAT_FILL_H
#define SAVORYLB_SAVORYLBD_HEARTBEAT_FILL_H

#include "peer.pb.h"
#include "savorylb/ids.h"

namespace savorylb {

struct Daemon;

/// Writes the revisions of all documents held.
void fillRevisions(
    Daemon &daemon,
    google::protobuf::RepeatedPtrField<peer::DocumentRevision> &out);

/// \returns a hash of the revisions of all documents held.
std::uint64_t revisionsHash(Daemon &daemon);

/// Writes a heartbeat with whole states, for a peer that does not know this VM
/// or that cannot read briefs.
void fillWhole(Daemon &daemon, const VmId &receiver,
               peer::HeartbeatRequest &out);
void fillWhole(Daemon &daemon, const VmId &receiver, peer::HeartbeatReply &out);

/// Writes a heartbeat with briefs.
void fillBriefly(Daemon &daemon, const VmId &receiver,
                 peer::HeartbeatRequest &out);
void fillBriefly(Daemon &daemon, const VmId &receiver,
                 peer::HeartbeatReply &out);

/// Writes the whole states that a peer asked for.
void fillWanted(Daemon &daemon, const peer::HeartbeatRequest &request,
                peer::HeartbeatReply &out);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HEARTBEAT_FILL_H
