#include "savorylb/retry_budget.h"

#include <algorithm>

namespace savorylb {

namespace {

constexpr std::int64_t EarnedPerAttempt = 100;
constexpr std::int64_t CostOfRetry = 1000;

} // namespace

void earnRetry(RetryBudget &budget) {
  budget.Earned = std::min(MaxEarnedRetries, budget.Earned + EarnedPerAttempt);
}

bool spendRetry(RetryBudget &budget) {
  if (budget.Earned < CostOfRetry)
    return false;
  budget.Earned -= CostOfRetry;
  return true;
}

} // namespace savorylb
