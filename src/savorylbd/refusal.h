#ifndef SAVORYLB_SAVORYLBD_REFUSAL_H
#define SAVORYLB_SAVORYLBD_REFUSAL_H

#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// Response to a caller when there is no complete response of a target.
struct Refusal {
  int Status = 503;
  /// True only when it is certain that the request did not run.
  bool NotRun = true;
  std::string Reason;
  std::string Detail;
  Duration RetryAfter{};
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REFUSAL_H
