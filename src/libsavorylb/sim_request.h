#ifndef SAVORYLB_SIM_REQUEST_H
#define SAVORYLB_SIM_REQUEST_H

#include "savorylb/units.h"

namespace savorylb {

/// One simulated request.
struct SimRequest {
  int Route = 0;
  bool IsNew = false;
  int Number = 0;
  Ppm Share;
};

} // namespace savorylb

#endif // SAVORYLB_SIM_REQUEST_H
