#include "request_context.h"

#include "savorylb/clock.h"

#include <algorithm>

namespace savorylb {

Duration timeLeft(const RequestContext &context) {
  return std::max(Duration(0), context.Deadline - monoNow());
}

bool bodyReplayable(const RequestContext &context) {
  return context.BodyStream == nullptr;
}

} // namespace savorylb
