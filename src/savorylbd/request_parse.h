#ifndef SAVORYLB_SAVORYLBD_REQUEST_PARSE_H
#define SAVORYLB_SAVORYLBD_REQUEST_PARSE_H

#include "request_context.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <optional>

namespace savorylb {

/// Bodies up to this size are held, so that they can be sent again.
constexpr std::int64_t MaxHeldBody = 64LL * 1024;

/// Reads route, limits, identity and deadline, and checks the key.
/// \param request the caller's request.
/// \param context receives what is known of it.
/// \returns why it is refused, or nothing.
std::optional<Refusal> parseRequest(Poco::Net::HTTPServerRequest &request,
                                    RequestContext &context);

/// Reads a small body, or leaves a larger one to be streamed.
/// \returns why it is refused, or nothing.
std::optional<Refusal> readBody(Poco::Net::HTTPServerRequest &request,
                                RequestContext &context);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_PARSE_H
