#ifndef SAVORYLB_CONTENT_CODING_H
#define SAVORYLB_CONTENT_CODING_H

#include "http_message.h"
#include "savorylb/error.h"

#include <cstddef>

namespace savorylb {

/// Largest body of a response between VMs, inflated.
constexpr std::size_t MaxInflatedBytes = 8 << 20;

/// \returns the text, compressed in the zlib format.
std::string deflateText(const std::string &text);

/// \param maxBytes largest text that is accepted.
/// \returns the text that deflateText() compressed, or Malformed.
Result<std::string> inflateText(const std::string &bytes,
                                std::size_t maxBytes = MaxInflatedBytes);

/// Announces in a request that the response's body may be compressed.
void acceptDeflate(HttpMessage &request);

/// \returns whether the sender of a request accepts a compressed body.
bool acceptsDeflate(const HttpMessage &request);

/// Compresses the body of a response and marks it, unless it is too small to
/// gain from it.
void deflateBody(HttpMessage &response);

/// Restores the body of a response that deflateBody() compressed; other
/// responses are not changed.
/// \param maxBytes largest body that is accepted.
/// \returns the body, or Malformed.
Result<std::string> readBody(const HttpMessage &response,
                             std::size_t maxBytes = MaxInflatedBytes);

} // namespace savorylb

#endif // SAVORYLB_CONTENT_CODING_H
