#ifndef SAVORYLB_SITE_SPEC_H
#define SAVORYLB_SITE_SPEC_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>

namespace savorylb {

/// A location of callers and its network distance to each region.
struct SiteSpec {
  SiteId Name;
  std::map<RegionId, Duration> Distance;
};

} // namespace savorylb

#endif // SAVORYLB_SITE_SPEC_H
