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

/// Counts a message sent to a peer and its bytes for `/metrics`. Counted are
/// heartbeats, the requests of blocking calls and the replies of Heartbeat,
/// Renew and GetDocument; not other replies, the asynchronous ReleaseSlot and
/// FinishOnce, or the framing of gRPC.
void countPeerMessage(const google::protobuf::MessageLite &message);

/// \returns false when no reply arrived in time.
bool callHeartbeat(Daemon &daemon, const PeerAddress &peer,
                   const peer::HeartbeatRequest &request,
                   peer::HeartbeatReply &reply);
bool callRenew(Daemon &daemon, const PeerAddress &peer,
               const peer::RenewRequest &request, peer::RenewReply &reply);

/// Requests tokens from a peer.
/// \returns the granted tokens; zero also when no reply arrived in time.
BorrowedGrant callBorrow(Daemon &daemon, const PeerAddress &peer,
                         const TeamId &team, MicroTokens wanted,
                         const SettledGrants &settled, Duration timeout);

/// Requests a slot from an owner.
SlotAnswer callAcquire(Daemon &daemon, const PeerAddress &peer,
                       const SlotQuery &query);

/// Returns a slot without waiting for the reply.
void sendRelease(Daemon &daemon, const PeerAddress &peer,
                 const TargetId &target, std::uint64_t number,
                 SlotResult result, Duration took);

RemoteBegin callBegin(Daemon &daemon, const PeerAddress &peer,
                      const ZoneId &zone, const OnceQuery &query);

/// Reports an outcome to the home VM without waiting for the reply. A failed
/// call is retried a few times. If all fail, the home VM marks the outcome
/// unknown at the entry's deadline.
void sendFinish(Daemon &daemon, const PeerAddress &peer, const ZoneId &zone,
                int partition, const RequestId &identity, std::uint64_t number,
                const std::string &outcome, const StoredAnswer &answer);

bool callReplicate(Daemon &daemon, const PeerAddress &peer, int partition,
                   const OnceEntry &entry, bool removed);
bool callTransfer(Daemon &daemon, const PeerAddress &peer,
                  const peer::TransferPartitionRequest &request);

/// Reads a document from a peer.
/// \returns true when the peer answered and holds the document.
bool callGetDocument(Daemon &daemon, const PeerAddress &peer,
                     const std::string &key, peer::GetDocumentReply &reply);

/// \returns true when an endpoint refuses connections, which proves that the
/// process that listened there has ended.
bool refusesConnections(Daemon &daemon, const std::string &endpoint);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_CALLS_H
