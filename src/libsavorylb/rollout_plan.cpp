#include "savorylb/rollout.h"

#include <algorithm>

namespace savorylb {

namespace {

// A step lasts at least one heartbeat interval, so that the evidence of all
// peers is in before the next, and no longer than needed to see load effects.
constexpr Millis ShortestStep{1000};
constexpr Millis LongestStep{10'000};
// Time before the deadline in which "done" is written. It covers a slow store,
// clocks that differ a little and a false suspicion on a route with few
// requests, which takes 10 s and more to clear; an outage at the deadline makes
// the rollout late.
constexpr Millis ShortestReserve{3000};
constexpr Millis LongestReserve{60'000};
// Clocks that differ by more than this are not trusted to hold a step back.
constexpr Millis ClockTolerance{60'000};
// New requests that the slower of the two tests usually takes to accept.
constexpr double RequestsToProve = 150;
// Steps up to the cap are due early, since the proof takes the longest where
// the share is small; later steps follow evenly until four fifths of the time,
// and the rest is reserve.
constexpr double CapPart = 0.05;
constexpr double FirstPart = 0.3;
constexpr double LastPart = 0.8;

std::vector<Ppm> stepsOf(const RolloutSpec &spec) {
  std::vector<Ppm> steps = spec.Steps;
  if (steps.empty())
    steps = {Ppm(10'000), Ppm(50'000), Ppm(200'000), Ppm(500'000)};
  std::sort(steps.begin(), steps.end());
  if (steps.back() < WholePpm)
    steps.push_back(WholePpm);
  return steps;
}

struct Plan {
  std::vector<Ppm> Steps;
  /// Index of the first step above the present share.
  std::size_t Next = 0;
  Millis Total{};
  Millis Dwell{};
  Millis Elapsed{};
};

Plan makePlan(const Rollout &rollout, WallTime now) {
  Plan plan;
  plan.Steps = stepsOf(rollout.Spec);
  while (plan.Next < plan.Steps.size() &&
         plan.Steps[plan.Next] <= rollout.Record.Share)
    ++plan.Next;
  plan.Total = std::max(rollout.Spec.Deadline - rollout.Spec.Start, Millis(1));
  auto stages = static_cast<int>(plan.Steps.size()) + 1;
  plan.Dwell = std::clamp(plan.Total / (4 * stages), ShortestStep, LongestStep);
  // Nothing was raised yet; the time since the epoch would count as time
  // without requests and make every rollout late.
  bool waiting = rollout.Record.Phase == RolloutPhase::Waiting;
  plan.Elapsed = waiting ? Millis(0) : now - rollout.Record.RaisedAt;
  if (plan.Elapsed < -ClockTolerance)
    plan.Elapsed = plan.Dwell;
  return plan;
}

// When the step with this index is due by schedule; one past the last is done.
WallTime scheduledAt(const Rollout &rollout, const Plan &plan,
                     std::size_t step) {
  double part = FirstPart + (LastPart - FirstPart) * static_cast<double>(step) /
                                static_cast<double>(plan.Steps.size());
  if (rollout.Record.Share < rollout.Spec.Cap)
    part = CapPart * static_cast<double>(step);
  return rollout.Spec.Start +
         Millis(static_cast<std::int64_t>(part * plan.Total.count()));
}

// Time that the remaining steps take at least.
Millis timeNeeded(const Rollout &rollout, const Plan &plan, bool proven) {
  auto stages = static_cast<int>(plan.Steps.size() - plan.Next) + 1;
  Millis steps =
      plan.Dwell * stages - std::clamp(plan.Elapsed, Millis(0), plan.Dwell);
  // The request rate of the new version is known after a few dwell times.
  if (proven || plan.Elapsed < plan.Dwell * 4)
    return steps;
  double seen = static_cast<double>(rollout.Pooled.Failures.NewTotal -
                                    rollout.PooledAtStep.NewTotal);
  if (seen <= 0 || rollout.Record.Share <= Ppm(0))
    return plan.Total;
  double rate = seen / static_cast<double>(plan.Elapsed.count());
  // The share can still rise to the cap before the proof.
  rate *= std::max(1.0, static_cast<double>(rollout.Spec.Cap.Value) /
                            static_cast<double>(rollout.Record.Share.Value));
  double missing = std::max(0.0, RequestsToProve - seen);
  return steps + Millis(static_cast<std::int64_t>(std::min(
                     missing / rate, static_cast<double>(plan.Total.count()))));
}

/// A rollout stays open until shortly before its deadline: a version that turns
/// bad after all steps is still compared with the control share of the old one.
WallTime soakedAt(const RolloutSpec &spec) {
  Millis total = std::max(spec.Deadline - spec.Start, Millis(0));
  Millis reserve = std::clamp(total * 3 / 20, ShortestReserve, LongestReserve);
  return spec.Deadline - std::min(reserve, total / 2);
}

} // namespace

std::optional<RolloutRecord> planRollout(const Rollout &rollout, WallTime now) {
  const RolloutRecord &own = rollout.Record;
  if (own.Phase == RolloutPhase::Done || own.Phase == RolloutPhase::TakenBack)
    return std::nullopt;
  RolloutRecord next = own;
  next.Name = rollout.Spec.Name;
  next.Service = rollout.Spec.Service;
  next.From = rollout.Spec.From;
  next.To = rollout.Spec.To;
  next.Rev = own.Rev + Revision(1);
  if (rollout.Stopped) {
    next.Phase = RolloutPhase::TakenBack;
    next.Share = Ppm(0);
    next.TakenBack.insert(next.To);
    next.Reason = rollout.StopReason;
    return next;
  }
  if (now < rollout.Spec.Start)
    return std::nullopt;
  Plan plan = makePlan(rollout, now);
  bool accepted = rollout.Pooled.FailureWindow.Accepted > 0 &&
                  rollout.Pooled.SlownessWindow.Accepted > 0;
  next.Proven = own.Proven || accepted;
  bool changed = next.Proven != own.Proven;
  bool first = own.Phase == RolloutPhase::Waiting;
  bool due = accepted || now >= scheduledAt(rollout, plan, plan.Next);
  bool ready =
      first || (due && plan.Elapsed >= plan.Dwell && !isSuspect(rollout));
  if (plan.Next == plan.Steps.size()) {
    if (ready && next.Proven && now >= soakedAt(rollout.Spec)) {
      next.Phase = RolloutPhase::Done;
      next.TakenBack.erase(next.To);
      next.Reason = "all steps passed";
      return next;
    }
  } else if (ready) {
    Ppm share = plan.Steps[plan.Next];
    if (!next.Proven)
      share = std::min(share, rollout.Spec.Cap);
    if (share > own.Share || first) {
      next.Share = std::max(share, own.Share);
      next.RaisedAt = now;
      next.Reason = accepted ? "no worse" : "schedule";
      if (first)
        next.Phase = RolloutPhase::Running;
      changed = true;
    }
  }
  if (next.Phase == RolloutPhase::Running &&
      now + timeNeeded(rollout, plan, next.Proven) > rollout.Spec.Deadline) {
    next.Phase = RolloutPhase::Late;
    next.Reason = next.Proven ? "the remaining steps do not fit"
                              : "too few requests to prove the new version";
    changed = true;
  }
  if (!changed)
    return std::nullopt;
  return next;
}

} // namespace savorylb
