#ifndef SAVORYLB_SAVORYLBD_REQUEST_PARSE_H
#define SAVORYLB_SAVORYLBD_REQUEST_PARSE_H

#include "request_context.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <optional>

namespace savorylb {

/// Bodies up to this size in bytes are buffered, so that they can be sent
/// again.
constexpr std::int64_t MaxBufferedBody = 64LL * 1024;

/// Parses path, deadline and identity, checks key and team, and copies the
/// headers to forward.
/// \param request the request of the caller.
/// \param context receives what was parsed, also when the request is refused.
/// \returns the refusal, or nothing.
std::optional<Refusal> parseRequest(Poco::Net::HTTPServerRequest &request,
                                    RequestContext &context);

/// Reads a small body into the buffer, or leaves a larger one to be streamed.
/// \returns the refusal, or nothing.
std::optional<Refusal> readBody(Poco::Net::HTTPServerRequest &request,
                                RequestContext &context);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_PARSE_H
