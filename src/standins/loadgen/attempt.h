#ifndef SAVORYLB_STANDINS_ATTEMPT_H
#define SAVORYLB_STANDINS_ATTEMPT_H

#include <string>

namespace savorylb::standin {

/// One exchange with one VM.
struct Attempt {
  enum class Kind {
    /// No connection, so nothing was sent.
    NotConnected,
    /// Sent, but no whole head of an answer came.
    NoAnswer,
    /// An answer came, maybe cut.
    Answered,
  };

  Kind End = Kind::NotConnected;
  std::string Failure;
  int Status = 0;
  std::string Outcome;
  std::string Reason;
  std::string ServedBy;
  std::string Body;
  /// Fewer bytes than announced, or the connection broke in the body.
  bool Cut = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_ATTEMPT_H
