#include "admission_check.h"

#include <algorithm>

namespace savorylb::replay {
namespace {

/// Requests a second times microseconds are micro-tokens.
void advance(MicroTokens &level, Duration &from, Duration to,
             const AdmissionCheck &check) {
  level += MicroTokens(check.Rate * (to - from).count());
  level = std::min(level, MicroTokens(check.Burst * OneToken.Value));
  from = to;
}

} // namespace

AdmissionCheck::AdmissionCheck(std::int64_t rate, std::int64_t burst)
    : Rate(rate), Burst(burst), Level(burst * OneToken.Value),
      DueLevel(burst * OneToken.Value) {}

void noteArrival(AdmissionCheck &check, Duration at, bool measured) {
  advance(check.DueLevel, check.DueAt, at, check);
  if (check.DueLevel < OneToken)
    return;
  check.DueLevel -= OneToken;
  if (!measured)
    return;
  ++check.Due;
  check.DueOpen.insert(at);
}

void noteDecision(AdmissionCheck &check, Duration arrivedAt, Duration now,
                  bool admitted) {
  auto due = check.DueOpen.find(arrivedAt);
  if (due != check.DueOpen.end()) {
    check.Wrongful += admitted ? 0 : 1;
    check.DueOpen.erase(due);
  }
  if (!admitted)
    return;
  ++check.Admitted;
  advance(check.Level, check.LevelAt, now, check);
  if (check.Level < OneToken)
    ++check.OverLimit;
  else
    check.Level -= OneToken;
}

} // namespace savorylb::replay
