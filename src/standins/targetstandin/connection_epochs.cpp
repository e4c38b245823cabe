#include "connection_epochs.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace savorylb::standin {

bool ConnectionEpochs::accept(const Poco::Net::StreamSocket &socket) {
  try {
    auto peer = socket.peerAddress().toString();
    std::lock_guard<std::mutex> guard(Lock);
    Peers[peer] = {Epoch, Clock::now()};
    return true;
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
    return false;
  }
}

void ConnectionEpochs::silence() {
  std::lock_guard<std::mutex> guard(Lock);
  ++Epoch;
}

bool ConnectionEpochs::isSilenced(const std::string &peer) const {
  std::lock_guard<std::mutex> guard(Lock);
  auto it = Peers.find(peer);
  return it != Peers.end() && it->second.Epoch < Epoch;
}

std::chrono::milliseconds ConnectionEpochs::age(const std::string &peer) const {
  std::lock_guard<std::mutex> guard(Lock);
  auto it = Peers.find(peer);
  if (it == Peers.end())
    return {};
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               it->second.At);
}

} // namespace savorylb::standin
