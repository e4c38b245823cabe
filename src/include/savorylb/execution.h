#ifndef SAVORYLB_EXECUTION_H
#define SAVORYLB_EXECUTION_H

namespace savorylb {

/// How often a request of a service may run.
enum class Execution {
  /// Reads that may be retried on another target.
  Idempotent,
  /// Permits, bookings and the like: sent at most once per request identity.
  AtMostOnce,
};

} // namespace savorylb

#endif // SAVORYLB_EXECUTION_H
