#ifndef SAVORYLB_BEGIN_RESULT_H
#define SAVORYLB_BEGIN_RESULT_H

#include "savorylb/once_verdict.h"
#include "savorylb/stored_answer.h"

#include <cstdint>

namespace savorylb {

/// Result of registering an at-most-once request with its home VM.
struct BeginResult {
  OnceVerdict Verdict = OnceVerdict::Refused;
  /// Number of the ledger entry; 0 when there is none to refer to.
  std::uint64_t Number = 0;
  /// The stored response; set only when the verdict is Done.
  StoredAnswer Answer;
};

} // namespace savorylb

#endif // SAVORYLB_BEGIN_RESULT_H
