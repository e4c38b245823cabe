#ifndef SAVORYLB_REPLAY_ONCE_RECORD_H
#define SAVORYLB_REPLAY_ONCE_RECORD_H

#include <string>

namespace savorylb::replay {

/// Actual outcome of one identity, independent of the ledgers.
struct OnceRecord {
  /// How often the request ran on a target.
  int RunCount = 0;
  /// Whether a caller received an answer.
  bool Answered = false;
  /// Whether a caller received `unknown`.
  bool AnsweredUnknown = false;
  /// The last answer that a caller received.
  std::string LastAnswer;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ONCE_RECORD_H
