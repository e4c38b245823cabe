#ifndef SAVORYLB_STANDINS_TARGET_ANSWER_H
#define SAVORYLB_STANDINS_TARGET_ANSWER_H

#include <string>

namespace savorylb::standin {

/// An answer on its way out.
struct TargetAnswer {
  int Status = 200;
  /// Echo of the attempt's nonce, or "".
  std::string Nonce;
  /// Echo of the idempotency key, or "".
  std::string Key;
  /// Value of X-Outcome, or "".
  std::string Outcome;
  std::string Reason;
  std::string Body;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_ANSWER_H
