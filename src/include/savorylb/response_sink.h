#ifndef SAVORYLB_RESPONSE_SINK_H
#define SAVORYLB_RESPONSE_SINK_H

#include "savorylb/header_list.h"

#include <cstdint>
#include <functional>

namespace savorylb {

/// Receives a response that is too large to buffer: first the status and the
/// headers, then the body as it arrives.
struct ResponseSink {
  /// Starts the caller's response and returns the stream for its body, or null
  /// if the caller has disconnected. \p length is in bytes, or -1 for a chunked
  /// body.
  std::function<std::ostream *(int status, const HeaderList &headers,
                               std::int64_t length)>
      Start;
};

} // namespace savorylb

#endif // SAVORYLB_RESPONSE_SINK_H
