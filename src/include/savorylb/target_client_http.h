#ifndef SAVORYLB_TARGET_CLIENT_HTTP_H
#define SAVORYLB_TARGET_CLIENT_HTTP_H

#include "savorylb/target_client.h"

namespace savorylb {

/// Size up to which a response is buffered completely before it is relayed.
constexpr std::int64_t MaxBufferedResponse = 256LL * 1024;

/// Creates a client that sends HTTP/1.1 requests over pooled connections.
/// \returns the client, which is thread-safe.
TargetClient makeHttpTargetClient();

} // namespace savorylb

#endif // SAVORYLB_TARGET_CLIENT_HTTP_H
