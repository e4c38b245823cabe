#ifndef SAVORYLB_LOOPBACK_PROXY_H
#define SAVORYLB_LOOPBACK_PROXY_H

#include "savorylb/units.h"

#include <boost/asio.hpp>
#include <list>
#include <memory>
#include <string>

namespace savorylb::soak {

namespace asio = boost::asio;

/// What a proxy does with the bytes that pass.
struct ProxyFaults {
  Duration Delay{0};
  /// Bytes of one direction vanish.
  bool DropToServer = false;
  bool DropToClient = false;
};

/// Forwards connections between two loopback addresses, and harms them.
class LoopbackProxy {
public:
  LoopbackProxy(asio::io_context &io, std::string server);

  bool listen(const std::string &address);
  void setFaults(const ProxyFaults &faults) { Faults = faults; }
  /// Resets all open connections.
  void resetAll();
  /// Open connections carry nothing any more; new ones work.
  void silenceAll();

private:
  struct Pair;
  void acceptNext();

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  std::string Server;
  ProxyFaults Faults;
  std::list<std::weak_ptr<Pair>> Pairs;
};

} // namespace savorylb::soak

#endif // SAVORYLB_LOOPBACK_PROXY_H
