#ifndef SAVORYLB_ZONE_MEMBER_H
#define SAVORYLB_ZONE_MEMBER_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// The entry of one VM in the owner map of its zone.
struct ZoneMember {
  Incarnation VmIncarnation;
  /// `host:port` of the peer interface.
  std::string PeerEndpoint;
  std::string CallerEndpoint;
  /// The only VM that may take over from this one without proof of its death;
  /// empty until one is named.
  VmId Successor;
  Incarnation SuccessorIncarnation;
  /// This VM's share of the fleet's rates.
  Ppm RateShare;
};

} // namespace savorylb

#endif // SAVORYLB_ZONE_MEMBER_H
