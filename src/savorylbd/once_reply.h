#ifndef SAVORYLB_SAVORYLBD_ONCE_REPLY_H
#define SAVORYLB_SAVORYLBD_ONCE_REPLY_H

#include "once_move.h"
#include "once_start.h"
#include "peer_calls.h"
#include "request_context.h"

namespace savorylb {

/// \param context the request.
/// \param seenInProgress whether the home has shown an attempt that had not
/// ended, which may have run since.
/// \returns the refusal while the home VM cannot be reached.
Refusal homeUnreachable(const RequestContext &context, bool seenInProgress);

/// Judges a reply of the home VM.
/// \param reply the reply, or that there is none.
/// \param start gets the stored answer, or the refusal should nothing better
/// come.
/// \param context the request.
/// \param seenInProgress set once the home has shown an attempt in progress.
OnceMove judgeReply(const RemoteBegin &reply, OnceStart &start,
                    const RequestContext &context, bool &seenInProgress);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_REPLY_H
