#ifndef SAVORYLB_PLACEMENT_CHOICE_H
#define SAVORYLB_PLACEMENT_CHOICE_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// An owner to ask for a slot.
struct PlacementChoice {
  VmId Owner;
  bool OtherRegion = false;
  std::string Reason;
};

} // namespace savorylb

#endif // SAVORYLB_PLACEMENT_CHOICE_H
