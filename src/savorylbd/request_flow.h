#ifndef SAVORYLB_SAVORYLBD_REQUEST_FLOW_H
#define SAVORYLB_SAVORYLBD_REQUEST_FLOW_H

#include "request_context.h"

#include <optional>

namespace savorylb {

/// How a request ended.
struct RequestResult {
  /// A whole response of the target, or of the first attempt for a repeat.
  std::optional<TargetResponse> Response;
  std::optional<Refusal> Refused;
  bool Repeated = false;
  TargetId Target;
  VersionId Version;
};

/// Admits, places and sends a request whose team is known.
/// \param context the request.
/// \param sink receives a response that is too large to buffer.
RequestResult runRequest(RequestContext &context, const ResponseSink &sink);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_FLOW_H
