#ifndef SAVORYLB_SITE_SPEC_H
#define SAVORYLB_SITE_SPEC_H

#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>

namespace savorylb {

/// A place where callers are, and how far each region is from it.
struct SiteSpec {
  SiteId Name;
  std::map<RegionId, Duration> Distance;
};

} // namespace savorylb

#endif // SAVORYLB_SITE_SPEC_H
