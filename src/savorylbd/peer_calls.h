#ifndef SAVORYLB_SAVORYLBD_PEER_CALLS_H
#define SAVORYLB_SAVORYLBD_PEER_CALLS_H

#include "ledger_shards.h"
#include "peer.grpc.pb.h"
#include "peer_address.h"
#include "remote_begin.h"
#include "savorylb/vm_view.h"
#include "service_shard.h"
#include "team_shards.h"

#include <string>

namespace savorylb {

struct Daemon;

/// Counts a message sent to a peer, so that `/metrics` shows what the control
/// traffic costs.
/// \param message a request or a reply, without the framing of gRPC.
void countPeerMessage(const google::protobuf::MessageLite &message);

/// \returns false when the peer could not be reached in time.
bool callHeartbeat(Daemon &daemon, const PeerAddress &peer,
                   const peer::HeartbeatRequest &request,
                   peer::HeartbeatReply &reply);
bool callRenew(Daemon &daemon, const PeerAddress &peer,
               const peer::RenewRequest &request, peer::RenewReply &reply);

/// Asks a peer for tokens.
/// \returns what it lent, zero also when it could not be reached.
BorrowedGrant callBorrow(Daemon &daemon, const PeerAddress &peer,
                         const TeamId &team, MicroTokens wanted,
                         const SettledGrants &settled, Duration patience);

/// Asks an owner for a slot.
SlotAnswer callAcquire(Daemon &daemon, const PeerAddress &peer,
                       const SlotQuery &query);

/// Returns a slot without waiting for the reply.
void sendRelease(Daemon &daemon, const PeerAddress &peer,
                 const TargetId &target, std::uint64_t number,
                 SlotResult result, Duration took);

RemoteBegin callBegin(Daemon &daemon, const PeerAddress &peer,
                      const ZoneId &zone, const OnceQuery &query);

/// Reports an outcome to the home VM; tried again until it is recorded or the
/// home's own deadline has made it unknown.
void sendFinish(Daemon &daemon, const PeerAddress &peer, const ZoneId &zone,
                int partition, const RequestId &identity, std::uint64_t number,
                const std::string &outcome, const StoredAnswer &answer);

bool callReplicate(Daemon &daemon, const PeerAddress &peer, int partition,
                   const OnceEntry &entry, bool removed);
bool callTransfer(Daemon &daemon, const PeerAddress &peer,
                  const peer::TransferPartitionRequest &request);

/// Reads a document that a peer holds.
bool callGetDocument(Daemon &daemon, const PeerAddress &peer,
                     const std::string &key, peer::GetDocumentReply &reply);

/// \returns true when nothing listens at an endpoint, which proves that the
/// process that listened there is gone.
bool refusesConnections(Daemon &daemon, const std::string &endpoint);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_CALLS_H
