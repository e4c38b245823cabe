#ifndef SAVORYLB_STANDINS_OUTGOING_RESPONSE_H
#define SAVORYLB_STANDINS_OUTGOING_RESPONSE_H

#include <string>

namespace savorylb::standin {

/// A response of the target before it is sent.
struct OutgoingResponse {
  int Status = 200;
  /// Nonce of the attempt, or "".
  std::string Nonce;
  /// Idempotency key of the request, or "".
  std::string Key;
  /// Value of X-Outcome, or "".
  std::string Outcome;
  std::string Reason;
  std::string Body;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_OUTGOING_RESPONSE_H
