#ifndef SAVORYCTL_EXIT_CODE_H
#define SAVORYCTL_EXIT_CODE_H

namespace savorylb {

/// Exit codes of savoryctl, documented in docs/savoryctl.md.
enum class ExitCode {
  Ok = 0,
  /// Invalid command line, or findings in a file.
  Usage = 1,
  /// Another operator or daemon changed the document; nothing was written.
  Conflict = 2,
  /// The store or the daemon called did not respond; nothing was written.
  StoreUnavailable = 3,
  /// The change may or may not have taken effect.
  Unknown = 4,
  NotFound = 5,
};

} // namespace savorylb

#endif // SAVORYCTL_EXIT_CODE_H
