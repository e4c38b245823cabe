#ifndef SAVORYLB_TARGET_REQUEST_H
#define SAVORYLB_TARGET_REQUEST_H

#include "savorylb/header_list.h"
#include "savorylb/units.h"

#include <cstdint>
#include <functional>
#include <istream>
#include <string>

namespace savorylb {

/// A request on its way to a target. It carries no tenant key.
struct TargetRequest {
  std::string Address;
  std::string Method;
  std::string Path;
  HeaderList Headers;
  /// Body source, null without a body.
  std::istream *Body = nullptr;
  /// Exact body length, or -1 for a chunked one.
  std::int64_t BodyLength = 0;
  std::string Nonce;
  Duration Remaining{};
  bool RequireEcho = false;
  /// Use only a connection that is certainly alive.
  bool VerifiedConnection = false;
  /// It may be sent again, so it need not wait on a silent connection.
  bool Repeatable = false;
  /// Polled while waiting; true means that the caller has left.
  std::function<bool()> Cancelled;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_REQUEST_H
