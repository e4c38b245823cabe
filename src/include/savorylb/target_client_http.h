#ifndef SAVORYLB_TARGET_CLIENT_HTTP_H
#define SAVORYLB_TARGET_CLIENT_HTTP_H

#include "savorylb/target_client.h"

namespace savorylb {

/// Responses up to this size are held whole before they are relayed.
constexpr std::int64_t MaxBufferedResponse = 256LL * 1024;

/// Makes a client that speaks HTTP/1.1 to targets over pooled connections.
/// \returns the client; it may be used by several threads.
TargetClient makeHttpTargetClient();

} // namespace savorylb

#endif // SAVORYLB_TARGET_CLIENT_HTTP_H
