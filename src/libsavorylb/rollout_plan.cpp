#include "savorylb/rollout.h"

#include <algorithm>

namespace savorylb {

namespace {

// Limits of the minimum duration of a step: at least one heartbeat interval, so
// that the evidence of all peers arrives before the next step, and no longer
// than needed to observe effects of load.
constexpr Millis MinStepTime{1000};
constexpr Millis MaxStepTime{10'000};
// Limits of the time before the deadline that is reserved for finishing the
// rollout. It covers a slow store, small clock differences and a false
// suspicion on a route with few requests, which takes 10 s or more to clear. An
// outage at the deadline makes the rollout late.
constexpr Millis MinReserve{3000};
constexpr Millis MaxReserve{60'000};
// A RaisedAt further in the future than this is ignored, so that a wrong clock
// does not delay the next step.
constexpr Millis ClockTolerance{60'000};
// Requests to the new version that the slower of the two tests usually needs to
// accept it as no worse.
constexpr double RequestsToAccept = 150;
// Due times of the steps, as fractions of the time from start to deadline.
// Steps up to the cap are due early, since acceptance takes longest while the
// share is small; later steps are spread evenly until four fifths of the time,
// and the rest is a reserve.
constexpr double CapStepFraction = 0.05;
constexpr double FirstStepFraction = 0.3;
constexpr double LastStepFraction = 0.8;

std::vector<Ppm> sortedSteps(const RolloutSpec &spec) {
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
  /// Index of the first step above the current share.
  std::size_t NextStep = 0;
  /// Time from the start to the deadline.
  Millis Total{};
  /// Minimum time at each step.
  Millis StepTime{};
  /// Time since the share was last raised; zero before the first raise.
  Millis SinceRaise{};
};

Plan makePlan(const Rollout &rollout, WallTime now) {
  Plan plan;
  plan.Steps = sortedSteps(rollout.Spec);
  while (plan.NextStep < plan.Steps.size() &&
         plan.Steps[plan.NextStep] <= rollout.Record.Share)
    ++plan.NextStep;
  plan.Total = std::max(rollout.Spec.Deadline - rollout.Spec.Start, Millis(1));
  auto stages = static_cast<int>(plan.Steps.size()) + 1;
  plan.StepTime =
      std::clamp(plan.Total / (4 * stages), MinStepTime, MaxStepTime);
  // Before the first raise RaisedAt is the epoch; the time since then would
  // count as time without requests and make every rollout late.
  bool waiting = rollout.Record.Phase == RolloutPhase::Waiting;
  plan.SinceRaise = waiting ? Millis(0) : now - rollout.Record.RaisedAt;
  if (plan.SinceRaise < -ClockTolerance)
    plan.SinceRaise = plan.StepTime;
  return plan;
}

// Returns the time at which a step is due; one past the last step means Done.
WallTime scheduledTime(const Rollout &rollout, const Plan &plan,
                       std::size_t step) {
  double part = FirstStepFraction + (LastStepFraction - FirstStepFraction) *
                                        static_cast<double>(step) /
                                        static_cast<double>(plan.Steps.size());
  if (rollout.Record.Share < rollout.Spec.Cap)
    part = CapStepFraction * static_cast<double>(step);
  return rollout.Spec.Start +
         Millis(static_cast<std::int64_t>(part * plan.Total.count()));
}

// Returns the minimum time that the remaining steps take.
Millis minTimeNeeded(const Rollout &rollout, const Plan &plan, bool proven) {
  auto stages = static_cast<int>(plan.Steps.size() - plan.NextStep) + 1;
  Millis steps = plan.StepTime * stages -
                 std::clamp(plan.SinceRaise, Millis(0), plan.StepTime);
  // The request rate of the new version can be estimated after a few minimum
  // step times.
  if (proven || plan.SinceRaise < plan.StepTime * 4)
    return steps;
  double seen = static_cast<double>(rollout.Pooled.Failures.NewTotal -
                                    rollout.PooledFailuresAtStep.NewTotal);
  if (seen <= 0 || rollout.Record.Share <= Ppm(0))
    return plan.Total;
  double rate = seen / static_cast<double>(plan.SinceRaise.count());
  // The share can still rise to the cap before the new version is accepted.
  rate *= std::max(1.0, static_cast<double>(rollout.Spec.Cap.Value) /
                            static_cast<double>(rollout.Record.Share.Value));
  double missing = std::max(0.0, RequestsToAccept - seen);
  return steps + Millis(static_cast<std::int64_t>(std::min(
                     missing / rate, static_cast<double>(plan.Total.count()))));
}

/// Returns the earliest time at which the rollout may finish. It stays open
/// until shortly before its deadline, so that a version that turns bad after
/// all steps is still compared with the control share of the old one.
WallTime earliestDone(const RolloutSpec &spec) {
  Millis total = std::max(spec.Deadline - spec.Start, Millis(0));
  Millis reserve = std::clamp(total * 3 / 20, MinReserve, MaxReserve);
  return spec.Deadline - std::min(reserve, total / 2);
}

} // namespace

std::optional<RolloutRecord> planRollout(const Rollout &rollout, WallTime now) {
  const RolloutRecord &own = rollout.Record;
  if (own.Phase == RolloutPhase::Done || own.Phase == RolloutPhase::RolledBack)
    return std::nullopt;
  RolloutRecord next = own;
  next.Name = rollout.Spec.Name;
  next.Service = rollout.Spec.Service;
  next.From = rollout.Spec.From;
  next.To = rollout.Spec.To;
  next.Rev = own.Rev + Revision(1);
  if (rollout.Stopped) {
    next.Phase = RolloutPhase::RolledBack;
    next.Share = Ppm(0);
    next.RolledBackVersions.insert(next.To);
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
  bool due = accepted || now >= scheduledTime(rollout, plan, plan.NextStep);
  bool ready =
      first || (due && plan.SinceRaise >= plan.StepTime && !isSuspect(rollout));
  if (plan.NextStep == plan.Steps.size()) {
    if (ready && next.Proven && now >= earliestDone(rollout.Spec)) {
      next.Phase = RolloutPhase::Done;
      next.RolledBackVersions.erase(next.To);
      next.Reason = "all steps passed";
      return next;
    }
  } else if (ready) {
    Ppm share = plan.Steps[plan.NextStep];
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
      now + minTimeNeeded(rollout, plan, next.Proven) > rollout.Spec.Deadline) {
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
