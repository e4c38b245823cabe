#include "admission_check.h"

#include <algorithm>

namespace savorylb::replay {
namespace {

/// Refills a bucket. Rate (tokens a second) times microseconds gives
/// micro-tokens.
void advance(MicroTokens &level, Duration &from, Duration to,
             const AdmissionCheck &check) {
  level += MicroTokens(check.Rate * (to - from).count());
  level = std::min(level, MicroTokens(check.Burst * OneToken.Value));
  from = to;
}

} // namespace

AdmissionCheck::AdmissionCheck(std::int64_t rate, std::int64_t burst)
    : Rate(rate), Burst(burst), AdmittedLevel(burst * OneToken.Value),
      ArrivalLevel(burst * OneToken.Value) {}

void recordArrival(AdmissionCheck &check, Duration at, bool measured) {
  advance(check.ArrivalLevel, check.ArrivalLevelAt, at, check);
  if (check.ArrivalLevel < OneToken)
    return;
  check.ArrivalLevel -= OneToken;
  if (!measured)
    return;
  ++check.Admissible;
  check.UndecidedAdmissible.insert(at);
}

void recordDecision(AdmissionCheck &check, Duration arrivedAt, Duration now,
                    bool admitted) {
  auto it = check.UndecidedAdmissible.find(arrivedAt);
  if (it != check.UndecidedAdmissible.end()) {
    check.WrongfulRefusals += admitted ? 0 : 1;
    check.UndecidedAdmissible.erase(it);
  }
  if (!admitted)
    return;
  ++check.Admitted;
  advance(check.AdmittedLevel, check.AdmittedLevelAt, now, check);
  if (check.AdmittedLevel < OneToken)
    ++check.OverLimit;
  else
    check.AdmittedLevel -= OneToken;
}

} // namespace savorylb::replay
