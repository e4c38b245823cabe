#ifndef SAVORYLB_STANDINS_OUTCOME_H
#define SAVORYLB_STANDINS_OUTCOME_H

namespace savorylb::standin {

/// How a request ended for the caller. Each request has exactly one outcome.
enum class Outcome { Done, NotRun, Unknown, Lost };

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
