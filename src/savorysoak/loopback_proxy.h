#ifndef SAVORYLB_LOOPBACK_PROXY_H
#define SAVORYLB_LOOPBACK_PROXY_H

#include "savorylb/units.h"

#include <boost/asio.hpp>
#include <list>
#include <memory>
#include <string>

namespace savorylb::soak {

namespace asio = boost::asio;

/// Faults that a proxy applies to the forwarded bytes.
struct ProxyFaults {
  Duration Delay{0};
  /// A connection drops the first bytes it receives in the given direction and
  /// then stops forwarding in both directions, even after the fault ends.
  bool DropToServer = false;
  bool DropToClient = false;
};

/// Forwards TCP connections between loopback addresses and injects faults.
class LoopbackProxy {
public:
  /// \param server `ip:port` to which connections are forwarded.
  LoopbackProxy(asio::io_context &io, std::string server);

  bool listen(const std::string &address);
  void setFaults(const ProxyFaults &faults) { Faults = faults; }
  /// Resets all open connections.
  void resetAll();
  /// Stops forwarding on open connections without closing them; new ones work.
  void stallAll();

private:
  struct Relay;
  void acceptNext();

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  std::string Server;
  ProxyFaults Faults;
  std::list<std::weak_ptr<Relay>> Relays;
};

} // namespace savorylb::soak

#endif // SAVORYLB_LOOPBACK_PROXY_H
