#ifndef SAVORYLB_RETRY_BUDGET_H
#define SAVORYLB_RETRY_BUDGET_H

#include <cstdint>

namespace savorylb {

/// Maximum balance in thousandths of a retry, so that a period without failures
/// cannot pay for a retry storm later.
constexpr std::int64_t MaxEarnedMilliRetries = 10'000;

/// Limits retries to a fraction of first attempts, which prevents retry storms.
struct RetryBudget {
  /// Available retries in thousandths, from 0 to MaxEarnedMilliRetries, at
  /// which it starts.
  std::int64_t Earned = 10'000;
};

/// Adds a tenth of a retry for one first attempt.
void earnRetry(RetryBudget &budget);

/// Takes one retry from the budget.
/// \returns false, and takes nothing, when less than one retry is available.
bool spendRetry(RetryBudget &budget);

} // namespace savorylb

#endif // SAVORYLB_RETRY_BUDGET_H
