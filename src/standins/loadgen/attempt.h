#ifndef SAVORYLB_STANDINS_ATTEMPT_H
#define SAVORYLB_STANDINS_ATTEMPT_H

#include <string>

namespace savorylb::standin {

/// One HTTP exchange with a VM or daemon.
struct Attempt {
  enum class Progress {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The request may have been sent, but no complete response header was
    /// received.
    NoResponse,
    /// A response was received; its body may be truncated.
    ResponseReceived,
  };

  Progress Reached = Progress::NotConnected;
  /// `timeout`, or the name or text of the exception that ended the exchange;
  /// "" after a response.
  std::string Failure;
  int Status = 0;
  /// Headers X-Outcome, X-Reason and X-Served-By of the response, or "".
  std::string Outcome;
  std::string Reason;
  std::string ServedBy;
  std::string Body;
  /// The body is shorter than its Content-Length, or the connection failed
  /// within it.
  bool Truncated = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_ATTEMPT_H
