#include "savorylb/headroom.h"

#include <algorithm>

namespace savorylb {

double agedFreeSlots(int freeSlots, Duration age) {
  double share = static_cast<double>(std::max(age, Duration(0)).count()) /
                 (2.0 * VmSilenceLimit.count());
  return std::max(0.0, freeSlots * (1.0 - std::min(share, 1.0)));
}

} // namespace savorylb
