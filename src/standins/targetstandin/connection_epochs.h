#ifndef SAVORYLB_STANDINS_CONNECTION_EPOCHS_H
#define SAVORYLB_STANDINS_CONNECTION_EPOCHS_H

#include <Poco/Net/TCPServer.h>

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

private:
  mutable std::mutex Lock;
  std::uint64_t Epoch = 1;
  std::map<std::string, std::uint64_t> Peers;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CONNECTION_EPOCHS_H
