#ifndef SAVORYLB_SAVORYLBD_ONCE_REPLY_H
#define SAVORYLB_SAVORYLBD_ONCE_REPLY_H

#include "once_action.h"
#include "once_registration.h"
#include "peer_calls.h"
#include "request_context.h"

namespace savorylb {

/// \param context the request.
/// \param seenInProgress whether the home has reported an earlier attempt in
/// progress, which may have run since.
/// \returns the refusal for a home VM that cannot be reached.
Refusal homeUnreachable(const RequestContext &context, bool seenInProgress);

/// Evaluates a reply of the home VM.
/// \param reply the reply; not Reached when there is none.
/// \param registration receives the stored response, or the refusal to use
/// unless a later reply replaces it.
/// \param context the request.
/// \param seenInProgress set when the home reports an attempt in progress.
OnceAction evaluateReply(const RemoteBegin &reply,
                         OnceRegistration &registration,
                         const RequestContext &context, bool &seenInProgress);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_REPLY_H
