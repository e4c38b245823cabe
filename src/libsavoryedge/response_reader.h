#ifndef SAVORYLB_LIBSAVORYEDGE_RESPONSE_READER_H
#define SAVORYLB_LIBSAVORYEDGE_RESPONSE_READER_H

#include "savorylb/target_client.h"

#include <Poco/Net/HTTPClientSession.h>

namespace savorylb {

/// Reads one response and judges whether it is whole and its own.
/// \param session connection on which the request was sent.
/// \param request the request it answers.
/// \param deadline reading stops then.
/// \param sink receives a response that is too large to buffer.
/// \param response outcome, reason and what was read.
void readResponse(Poco::Net::HTTPClientSession &session,
                  const TargetRequest &request, MonoTime deadline,
                  const ResponseSink &sink, TargetResponse &response);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_RESPONSE_READER_H
