#ifndef SAVORYLB_LINK_SPEC_H
#define SAVORYLB_LINK_SPEC_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

namespace savorylb {

/// Capacity and delay of the link between two regions, equal in both
/// directions.
struct LinkSpec {
  RegionId From;
  RegionId To;
  ByteCount BytesPerSecond;
  Duration Delay{};
};

} // namespace savorylb

#endif // SAVORYLB_LINK_SPEC_H
