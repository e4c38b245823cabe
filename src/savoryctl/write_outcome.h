#ifndef SAVORYCTL_WRITE_OUTCOME_H
#define SAVORYCTL_WRITE_OUTCOME_H

namespace savorylb {

/// Outcome of a write to the store.
enum class WriteOutcome {
  Applied,
  /// Another writer changed the document first; this write had no effect.
  Conflict,
  /// The store was unreachable or refused the write; it had no effect.
  NotWritten,
  /// The response was lost and the document has changed since, so this write
  /// may have been in force for a while.
  Superseded,
  /// The response was lost and reading back did not settle the outcome.
  Unknown,
};

} // namespace savorylb

#endif // SAVORYCTL_WRITE_OUTCOME_H
