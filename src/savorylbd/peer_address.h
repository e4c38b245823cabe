#ifndef SAVORYLB_SAVORYLBD_PEER_ADDRESS_H
#define SAVORYLB_SAVORYLBD_PEER_ADDRESS_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// Address of a VM's peer interface; the name is empty when it is not known.
struct PeerAddress {
  VmId Vm;
  std::string Endpoint;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_ADDRESS_H
