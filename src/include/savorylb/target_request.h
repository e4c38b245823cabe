#ifndef SAVORYLB_TARGET_REQUEST_H
#define SAVORYLB_TARGET_REQUEST_H

#include "savorylb/header_list.h"
#include "savorylb/units.h"

#include <cstdint>
#include <functional>
#include <istream>
#include <string>

namespace savorylb {

/// A request to a target. It does not contain the tenant key.
struct TargetRequest {
  std::string Address;
  std::string Method;
  std::string Path;
  HeaderList Headers;
  /// Source of the body, null if there is none.
  std::istream *Body = nullptr;
  /// Length of the body in bytes, or -1 for a chunked body.
  std::int64_t BodyLength = 0;
  /// Value that the target echoes, to detect a response to another request.
  std::string Nonce;
  /// Maximum time that this attempt may take.
  Duration Remaining{};
  /// Rejects a response that does not echo Nonce.
  bool RequireEcho = false;
  /// Open a new connection instead of reusing an idle one, which may have
  /// become unresponsive.
  bool NewConnection = false;
  /// The request may be sent again, so it does not have to wait on an
  /// unresponsive connection.
  bool Repeatable = false;
  /// Polled while waiting; true when the caller has disconnected.
  std::function<bool()> Cancelled;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_REQUEST_H
