#ifndef SAVORYLB_SAVORYLBD_ONCE_REGISTRATION_H
#define SAVORYLB_SAVORYLBD_ONCE_REGISTRATION_H

#include "once_permit.h"
#include "refusal.h"
#include "savorylb/stored_answer.h"

#include <optional>

namespace savorylb {

/// Result of registering an at-most-once request: a permit, a stored response,
/// or else a refusal.
struct OnceRegistration {
  std::optional<OncePermit> Permit;
  /// Response of an earlier attempt, if this request is a repeat.
  std::optional<StoredAnswer> Answer;
  Refusal Refused;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_REGISTRATION_H
