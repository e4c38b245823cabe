#ifndef SAVORYLB_SAVORYLBD_PEER_SERVICE_H
#define SAVORYLB_SAVORYLBD_PEER_SERVICE_H

#include <grpcpp/server.h>
#include <memory>

namespace savorylb {

struct Daemon;

/// A running gRPC server of the peer interface.
struct PeerServer {
  std::shared_ptr<void> Service;
  std::unique_ptr<grpc::Server> Server;
};

/// Starts the peer interface.
/// \returns the server; `Server` is null when the port cannot be used.
PeerServer startPeerServer(Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_SERVICE_H
