#ifndef SAVORYLB_BEGIN_RESULT_H
#define SAVORYLB_BEGIN_RESULT_H

#include "savorylb/once_verdict.h"
#include "savorylb/stored_answer.h"

#include <cstdint>

namespace savorylb {

/// Answer to a request that wants to run.
struct BeginResult {
  OnceVerdict Verdict = OnceVerdict::Refused;
  std::uint64_t Number = 0;
  StoredAnswer Answer;
};

} // namespace savorylb

#endif // SAVORYLB_BEGIN_RESULT_H
