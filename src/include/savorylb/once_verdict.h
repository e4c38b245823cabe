#ifndef SAVORYLB_ONCE_VERDICT_H
#define SAVORYLB_ONCE_VERDICT_H

namespace savorylb {

/// What the home VM tells a forwarding VM.
enum class OnceVerdict {
  Go,
  InProgress,
  Done,
  Unknown,
  Conflict,
  NotHome,
  Refused
};

} // namespace savorylb

#endif // SAVORYLB_ONCE_VERDICT_H
