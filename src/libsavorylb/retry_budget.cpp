#include "savorylb/retry_budget.h"

#include <algorithm>

namespace savorylb {

namespace {

constexpr std::int64_t MilliRetriesPerAttempt = 100;
constexpr std::int64_t MilliRetriesPerRetry = 1000;

} // namespace

void earnRetry(RetryBudget &budget) {
  budget.Earned =
      std::min(MaxEarnedMilliRetries, budget.Earned + MilliRetriesPerAttempt);
}

bool spendRetry(RetryBudget &budget) {
  if (budget.Earned < MilliRetriesPerRetry)
    return false;
  budget.Earned -= MilliRetriesPerRetry;
  return true;
}

} // namespace savorylb
