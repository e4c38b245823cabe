#ifndef SAVORYLB_TARGET_OUTCOME_H
#define SAVORYLB_TARGET_OUTCOME_H

namespace savorylb {

/// Outcome of an attempt on a target.
enum class TargetOutcome {
  /// The complete response was received.
  Done,
  /// Nothing ran: no byte was sent, or the target reported so.
  NotRun,
  /// The request may have run.
  Unknown,
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_OUTCOME_H
