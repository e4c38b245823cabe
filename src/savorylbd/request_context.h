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

/// A caller's request on its way through the daemon.
struct RequestContext {
  explicit RequestContext(Daemon &daemon) : Owner(daemon) {}

  Daemon &Owner;
  SnapshotPtr Current = nullptr;
  const ServiceSpec *Service = nullptr;
  TeamId Team;
  int Weight = 1;
  std::vector<RegionId> TeamRegions;
  /// Digest of the key that was used; empty on an open route without one.
  std::string KeyDigest;
  RouteId Route;
  std::string Method;
  /// Path and query for the target.
  std::string Path;
  /// Headers for the target, without those of this hop and without the key.
  HeaderList Headers;
  /// Body held here when it is small enough to be sent again.
  std::string SmallBody;
  /// Rest of the caller's stream when the body is larger.
  std::istream *Stream = nullptr;
  std::int64_t BodyLength = 0;
  MonoTime ArrivedAt{};
  MonoTime Deadline{};
  RequestId Identity;
  /// The caller's count of attempts, 0 when not stated.
  int Attempt = 0;
  std::string Trace;
  /// \returns true when the caller has closed its connection.
  std::function<bool()> CallerGone;
  /// Time spent waiting for targets.
  Duration TargetTime{};
};

/// \returns time left until the request's deadline.
Duration timeLeft(const RequestContext &context);

/// \returns true when the body can be sent to a target again.
bool bodyReplayable(const RequestContext &context);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_CONTEXT_H
