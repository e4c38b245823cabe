#ifndef SAVORYLB_SAVORYLBD_REQUEST_ONCE_H
#define SAVORYLB_SAVORYLBD_REQUEST_ONCE_H

#include "once_permit.h"
#include "once_registration.h"
#include "peer_calls.h"
#include "request_context.h"

namespace savorylb {

/// Registers an at-most-once request at its home VM. While an earlier attempt
/// is in progress, asks again until the deadline.
OnceRegistration registerOnce(RequestContext &context);

/// Reports the outcome `done`, `not_run` or `unknown` to the home VM.
void reportOnceOutcome(RequestContext &context, const OncePermit &permit,
                       const std::string &outcome, const StoredAnswer &answer);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_ONCE_H
