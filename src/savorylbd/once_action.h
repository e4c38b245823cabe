#ifndef SAVORYLB_SAVORYLBD_ONCE_ACTION_H
#define SAVORYLB_SAVORYLBD_ONCE_ACTION_H

namespace savorylb {

/// Next step of registerOnce() after a reply of the home VM.
enum class OnceAction {
  /// The result is final.
  Finish,
  /// An earlier attempt is in progress: ask again until the deadline.
  PollAgain,
  /// The home cannot register the request now: retry for a limited time.
  RetryHome
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_ONCE_ACTION_H
