#ifndef SAVORYLB_ZONE_MEMBER_H
#define SAVORYLB_ZONE_MEMBER_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// One VM of a zone as the owner map has it.
struct ZoneMember {
  Incarnation Life;
  /// `host:port` of the peer interface.
  std::string PeerEndpoint;
  std::string CallerEndpoint;
  /// The only VM that may take this one over; empty in a zone of one.
  VmId Successor;
  Incarnation SuccessorLife;
  /// This VM's part of the fleet's rates.
  Ppm RatePpm;
};

} // namespace savorylb

#endif // SAVORYLB_ZONE_MEMBER_H
