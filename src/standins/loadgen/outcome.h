#ifndef SAVORYLB_STANDINS_OUTCOME_H
#define SAVORYLB_STANDINS_OUTCOME_H

namespace savorylb::standin {

/// Outcome of a request for the caller. Each request has exactly one.
enum class Outcome {
  /// A complete response was received; it may report a failure.
  Done,
  /// The request was not sent, or was refused without having run.
  NotRun,
  /// A response was truncated, stated that the request may have run, or had a
  /// status of 502 or above without X-Outcome.
  Unknown,
  /// The request may have run, but no response to it was received.
  Lost
};

/// \returns the outcome's name in reports.
inline const char *nameOf(Outcome it) {
  switch (it) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Lost:
    break;
  }
  return "lost";
}

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_OUTCOME_H
