#ifndef SAVORYLB_ONCE_VERDICT_H
#define SAVORYLB_ONCE_VERDICT_H

namespace savorylb {

/// The home VM's decision on an at-most-once request.
enum class OnceVerdict {
  /// A new request: the forwarding VM may run it.
  Go,
  /// An earlier attempt is still running.
  InProgress,
  /// An earlier attempt has completed; its response is returned.
  Done,
  /// It is not known whether an earlier attempt ran.
  Unknown,
  /// The identity was used for a different request or by another team.
  Conflict,
  /// The VM does not own the identity's partition.
  NotHome,
  /// The request was not registered and did not run.
  Refused
};

} // namespace savorylb

#endif // SAVORYLB_ONCE_VERDICT_H
