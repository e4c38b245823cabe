#ifndef SAVORYLB_SAVORYLBD_REQUEST_ONCE_H
#define SAVORYLB_SAVORYLBD_REQUEST_ONCE_H

#include "peer_calls.h"
#include "request_context.h"

#include <optional>

namespace savorylb {

/// Right to send an at-most-once request, given by its home VM.
struct OncePermit {
  OnceHome Home;
  PeerAddress HomeVm;
  std::uint64_t Number = 0;
};

/// Result of asking the home VM.
struct OnceStart {
  std::optional<OncePermit> Permit;
  /// The first attempt's response, for a repeat.
  std::optional<StoredAnswer> Answer;
  Refusal Refused;
};

/// Registers an at-most-once request at its home VM and waits there for an
/// attempt in progress.
OnceStart startOnce(RequestContext &context);

/// Reports the outcome `done`, `not_run` or `unknown` to the home VM.
void endOnce(RequestContext &context, const OncePermit &permit,
             const std::string &outcome, const StoredAnswer &answer);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_REQUEST_ONCE_H
