#ifndef SAVORYLB_STANDINS_CONNECTION_EPOCHS_H
#define SAVORYLB_STANDINS_CONNECTION_EPOCHS_H

#include <Poco/Net/TCPServer.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace savorylb::standin {

/// Tells connections accepted before a fault from those accepted after it, by
/// the peer's address.
class ConnectionEpochs : public Poco::Net::TCPServerConnectionFilter {
public:
  bool accept(const Poco::Net::StreamSocket &socket) override;
  /// Silences all connections accepted so far, for good.
  void silence();
  bool isSilent(const std::string &peer) const;
  /// \returns how long ago the peer's connection was accepted.
  std::chrono::milliseconds age(const std::string &peer) const;

private:
  using Clock = std::chrono::steady_clock;
  struct Accepted {
    std::uint64_t Epoch = 0;
    Clock::time_point At{};
  };

  mutable std::mutex Lock;
  std::uint64_t Epoch = 1;
  std::map<std::string, Accepted> Peers;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CONNECTION_EPOCHS_H
