#ifndef SAVORYLB_EXECUTION_H
#define SAVORYLB_EXECUTION_H

namespace savorylb {

/// How often a request to a service may be executed.
enum class Execution {
  /// Requests such as reads that may be retried on another target.
  Idempotent,
  /// Requests such as bookings, sent at most once per request identity.
  AtMostOnce,
};

} // namespace savorylb

#endif // SAVORYLB_EXECUTION_H
