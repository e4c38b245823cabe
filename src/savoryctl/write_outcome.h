#ifndef SAVORYCTL_WRITE_OUTCOME_H
#define SAVORYCTL_WRITE_OUTCOME_H

namespace savorylb {

/// How a write ended.
enum class WriteOutcome {
  Applied,
  /// Someone else changed the document first; this write had no effect.
  Conflict,
  /// The store took nothing.
  NotWritten,
  /// The response was lost and the document has been changed since, so this
  /// write may have been in force for a while.
  Superseded,
  /// The response was lost and the store could not be read.
  Unknown,
};

} // namespace savorylb

#endif // SAVORYCTL_WRITE_OUTCOME_H
