#include "daemon.h"

namespace savorylb {

std::string ownPeerEndpoint(const Daemon &daemon) {
  return daemon.Conf.Address + ":" + std::to_string(daemon.Conf.PeerPort);
}

std::string ownCallerEndpoint(const Daemon &daemon) {
  return daemon.Conf.Address + ":" + std::to_string(daemon.Conf.CallerPort);
}

} // namespace savorylb
