#ifndef SAVORYLB_TARGET_OUTCOME_H
#define SAVORYLB_TARGET_OUTCOME_H

namespace savorylb {

/// How an attempt on a target ended.
enum class TargetOutcome {
  /// The whole response came.
  Done,
  /// Nothing ran: no byte was sent, or the target said so.
  NotRun,
  /// The request may have run.
  Unknown,
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_OUTCOME_H
