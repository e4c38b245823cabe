#ifndef SAVORYLB_SAVORYLBD_REFUSAL_H
#define SAVORYLB_SAVORYLBD_REFUSAL_H

#include "savorylb/units.h"

#include <string>

namespace savorylb {

/// What a caller is told about a request without a target's response.
struct Refusal {
  int Status = 503;
  /// True only when it is certain that nothing ran for this request.
  bool NotRun = true;
  std::string Reason;
  std::string Detail;
  Duration RetryAfter{};
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REFUSAL_H
