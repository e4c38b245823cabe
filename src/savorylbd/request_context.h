#ifndef SAVORYLB_SAVORYLBD_REQUEST_CONTEXT_H
#define SAVORYLB_SAVORYLBD_REQUEST_CONTEXT_H

#include "daemon.h"
#include "refusal.h"
#include "savorylb/once_ledger.h"
#include "savorylb/target_client.h"

#include <functional>
#include <istream>
#include <string>

namespace savorylb {

/// A request of a caller while this daemon processes it.
struct RequestContext {
  explicit RequestContext(Daemon &daemon) : LocalDaemon(daemon) {}

  Daemon &LocalDaemon;
  /// Configuration and keys when the request arrived.
  SnapshotPtr ArrivalSnapshot = nullptr;
  const ServiceSpec *Service = nullptr;
  TeamId Team;
  int Weight = 1;
  std::vector<RegionId> TeamRegions;
  /// Digest of the caller's key; empty if an open service was called without a
  /// valid key.
  std::string KeyDigest;
  RouteId Route;
  std::string Method;
  /// Path and query for the target.
  std::string Path;
  /// Headers for the target, without hop-by-hop headers and the key.
  HeaderList Headers;
  /// The body, if it is small enough to be buffered and sent again.
  std::string BufferedBody;
  /// The caller's stream, if the body is larger; null otherwise.
  std::istream *BodyStream = nullptr;
  /// Length of the body in bytes, or -1 for a chunked body.
  std::int64_t BodyLength = 0;
  MonoTime ArrivedAt{};
  MonoTime Deadline{};
  RequestId Identity;
  /// Number of this attempt as stated by the caller, starting with 1; 0 when
  /// not stated.
  int CallerAttempt = 0;
  /// Identifies the request in the event logs of all daemons.
  std::string Trace;
  /// \returns true when the caller has disconnected.
  std::function<bool()> CallerDisconnected;
  /// Time spent waiting for targets.
  Duration TargetTime{};
};

/// \returns time left until the request's deadline.
Duration timeLeft(const RequestContext &context);

/// \returns true when the body is buffered and can be sent to a target again.
bool bodyReplayable(const RequestContext &context);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_CONTEXT_H
