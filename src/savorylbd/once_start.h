#ifndef SAVORYLB_SAVORYLBD_ONCE_START_H
#define SAVORYLB_SAVORYLBD_ONCE_START_H

#include "once_permit.h"
#include "refusal.h"
#include "savorylb/stored_answer.h"

#include <optional>

namespace savorylb {

/// Result of asking the home VM.
struct OnceStart {
  std::optional<OncePermit> Permit;
  /// The first attempt's response, for a repeat.
  std::optional<StoredAnswer> Answer;
  Refusal Refused;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_START_H
