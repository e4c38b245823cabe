#ifndef SAVORYLB_SAVORYLBD_REQUEST_FLOW_H
#define SAVORYLB_SAVORYLBD_REQUEST_FLOW_H

#include "request_context.h"

#include <optional>

namespace savorylb {

/// Outcome of a request.
struct RequestResult {
  /// A target's response, or the stored response of an earlier attempt. A
  /// streamed one may be incomplete; Refused is set then.
  std::optional<TargetResponse> Response;
  std::optional<Refusal> Refused;
  /// Response is the stored response of an earlier attempt.
  bool Repeated = false;
  TargetId Target;
  VersionId Version;
};

/// Runs a parsed request: registers an at-most-once request at its home VM,
/// applies the team's rate limit, and sends the request to a target once it has
/// a slot, with retries.
/// \param context the request.
/// \param sink receives a response that is too large to buffer.
RequestResult runRequest(RequestContext &context, const ResponseSink &sink);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_FLOW_H
