#ifndef SAVORYLB_LIBSAVORYEDGE_RESPONSE_READER_H
#define SAVORYLB_LIBSAVORYEDGE_RESPONSE_READER_H

#include "savorylb/target_client.h"

#include <Poco/Net/HTTPClientSession.h>

namespace savorylb {

/// Reads one response and checks that it is complete and belongs to the
/// request.
/// \param session connection on which the request was sent.
/// \param request the request that was sent.
/// \param deadline when reading stops.
/// \param sink receives a response that is too large to buffer.
/// \param response receives the outcome, the reason and the data read.
void readResponse(Poco::Net::HTTPClientSession &session,
                  const TargetRequest &request, MonoTime deadline,
                  const ResponseSink &sink, TargetResponse &response);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_RESPONSE_READER_H
