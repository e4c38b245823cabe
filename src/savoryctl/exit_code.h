#ifndef SAVORYCTL_EXIT_CODE_H
#define SAVORYCTL_EXIT_CODE_H

namespace savorylb {

/// Exit codes of savoryctl, documented in docs/savoryctl.md.
enum class ExitCode {
  Ok = 0,
  /// Invalid command line, missing confirmation, or an invalid file or stored
  /// document.
  Usage = 1,
  /// The change conflicts with the current state, such as another operator's
  /// change; it did not come into force.
  Conflict = 2,
  /// The store or the daemon called did not respond; the change did not come
  /// into force.
  Unavailable = 3,
  /// The change may or may not have taken effect.
  Unknown = 4,
  NotFound = 5,
};

} // namespace savorylb

#endif // SAVORYCTL_EXIT_CODE_H
