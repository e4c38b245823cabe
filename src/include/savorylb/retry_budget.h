#ifndef SAVORYLB_RETRY_BUDGET_H
#define SAVORYLB_RETRY_BUDGET_H

#include <cstdint>

namespace savorylb {

/// Most retries saved up, in thousandths; a quiet time must not pay for a
/// storm.
constexpr std::int64_t MaxEarnedRetries = 10'000;

/// Retries allowed as a part of first attempts, so that retries cannot add up
/// to a storm.
struct RetryBudget {
  /// Earned retries in thousandths, at most MaxEarnedRetries.
  std::int64_t Earned = 10'000;
};

/// Earns a tenth of a retry for one first attempt.
void earnRetry(RetryBudget &budget);

/// \returns true, and spends one retry, when one is left.
bool spendRetry(RetryBudget &budget);

} // namespace savorylb

#endif // SAVORYLB_RETRY_BUDGET_H
