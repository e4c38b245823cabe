#ifndef SAVORYLB_LINK_SPEC_H
#define SAVORYLB_LINK_SPEC_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

namespace savorylb {

/// Capacity and delay between two regions, the same both ways.
struct LinkSpec {
  RegionId From;
  RegionId To;
  ByteCount BytesPerSecond;
  Duration Delay{};
};

} // namespace savorylb

#endif // SAVORYLB_LINK_SPEC_H
