#ifndef SAVORYLB_STANDINS_CONNECTION_EPOCHS_H
#define SAVORYLB_STANDINS_CONNECTION_EPOCHS_H

#include <Poco/Net/TCPServer.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// Records for each accepted connection, by the address of its peer, when it
/// was accepted and whether it has been silenced since. A silenced connection
/// stays open, but no response is sent on it.
class ConnectionEpochs : public Poco::Net::TCPServerConnectionFilter {
public:
  bool accept(const Poco::Net::StreamSocket &socket) override;
  /// Silences all connections accepted so far. This cannot be undone.
  void silence();
  bool isSilenced(const std::string &peer) const;
  /// \returns the time since the peer's connection was accepted, or 0 for an
  /// unknown peer.
  std::chrono::milliseconds age(const std::string &peer) const;

private:
  using Clock = std::chrono::steady_clock;
  struct Accepted {
    std::uint64_t Epoch = 0;
    Clock::time_point At{};
  };

  mutable std::mutex Lock;
  /// Incremented by each call of `silence`; connections of earlier epochs are
  /// silenced.
  std::uint64_t Epoch = 1;
  std::map<std::string, Accepted> Peers;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CONNECTION_EPOCHS_H
