#ifndef SAVORYLB_ONCE_ENTRY_H
#define SAVORYLB_ONCE_ENTRY_H

#include "savorylb/ids.h"
#include "savorylb/once_state.h"
#include "savorylb/stored_answer.h"
#include "savorylb/units.h"

#include <cstdint>
#include <string>

namespace savorylb {

/// The ledger entry of one at-most-once request.
struct OnceEntry {
  RequestId Identity;
  /// Digest over team, method, path and body length, to detect an identity that
  /// is reused for a different request.
  std::string Digest;
  TeamId Team;
  OnceState State = OnceState::InProgress;
  /// Unique within the partition; distinguishes a new attempt from a cancelled
  /// one.
  std::uint64_t Number = 0;
  MonoTime BegunAt{};
  MonoTime Deadline{};
  StoredAnswer Answer;
};

} // namespace savorylb

#endif // SAVORYLB_ONCE_ENTRY_H
