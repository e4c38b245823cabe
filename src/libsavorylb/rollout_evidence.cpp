#include "rollout_verdict.h"
#include "savorylb/rollout.h"

#include <algorithm>

namespace savorylb {

namespace {

constexpr std::size_t LatencyWindowSize = 200;
// With fewer latencies the 90th percentile is little more than the maximum.
constexpr std::size_t MinLatencies = 20;
constexpr std::size_t ThresholdUpdateInterval = 10;

bool isFinal(RolloutPhase phase) {
  return phase == RolloutPhase::Done || phase == RolloutPhase::RolledBack;
}

void addLatency(LatencyWindow &window, Duration took) {
  if (window.Recent.size() < LatencyWindowSize)
    window.Recent.push_back(took);
  else
    window.Recent[window.Next] = took;
  window.Next = (window.Next + 1) % LatencyWindowSize;
  if (window.Recent.size() < MinLatencies ||
      window.Next % ThresholdUpdateInterval != 0)
    return;
  std::vector<Duration> sorted = window.Recent;
  auto at =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 9 / 10);
  std::nth_element(sorted.begin(), at, sorted.end());
  window.Threshold = *at;
}

VersionCounts singleCount(bool isNew, bool bad) {
  std::uint64_t n = bad ? 1 : 0;
  return isNew ? VersionCounts{0, 0, 1, n} : VersionCounts{1, n, 0, 0};
}

void addToAll(const VersionCounts &counts, VersionCounts &own,
              VersionCounts &route, VersionCounts &pooled) {
  addCounts(own, counts);
  addCounts(route, counts);
  addCounts(pooled, counts);
}

// Replaces a peer's totals and adds the increase. Totals that decreased come
// from an older heartbeat and are ignored.
bool mergeTotals(VersionCounts &known, const VersionCounts &totals,
                 VersionCounts &route, VersionCounts &pooled) {
  if (totals.OldTotal < known.OldTotal || totals.OldBad < known.OldBad ||
      totals.NewTotal < known.NewTotal || totals.NewBad < known.NewBad)
    return false;
  if (totals.OldBad > totals.OldTotal || totals.NewBad > totals.NewTotal)
    return false;
  VersionCounts increase = subtractCounts(totals, known);
  known = totals;
  addCounts(route, increase);
  addCounts(pooled, increase);
  return increase.OldTotal + increase.NewTotal > 0;
}

} // namespace

bool isSuspect(const Rollout &rollout) {
  auto suspect = [](const EvidenceTests &tests) {
    return tests.FailureWindow.Suspect || tests.SlownessWindow.Suspect;
  };
  return suspect(rollout.Pooled) ||
         std::any_of(
             rollout.Routes.begin(), rollout.Routes.end(),
             [&](const auto &item) { return suspect(item.second.Tests); });
}

Ppm effectiveShare(const Rollout &rollout) {
  const RolloutRecord &record = rollout.Record;
  // A stop takes precedence over a record in phase Done, whose writer may not
  // have received the stop yet.
  if (rollout.Stopped || record.Phase == RolloutPhase::Waiting ||
      record.Phase == RolloutPhase::RolledBack)
    return Ppm(0);
  if (record.Phase == RolloutPhase::Done)
    return WholePpm;
  Ppm share = std::min(record.Share, WholePpm - ControlShare);
  if (!record.Proven)
    share = std::min(share, rollout.Spec.Cap);
  if (share > MaxSuspectShare && isSuspect(rollout))
    share = MaxSuspectShare;
  return share;
}

VersionId chooseVersion(Rollout &rollout, const RouteId &route) {
  Ppm share = effectiveShare(rollout);
  if (share != rollout.LastShare) {
    restartTests(rollout);
    rollout.LastShare = share;
  }
  if (share == Ppm(0))
    return rollout.Spec.From;
  if (share == WholePpm)
    return rollout.Spec.To;
  bool chosen =
      chooseNewVersion(rollout.VmChoice, rollout.Routes[route].Choice, share);
  return chosen ? rollout.Spec.To : rollout.Spec.From;
}

bool observeResult(Rollout &rollout, const RouteId &route,
                   const VersionId &version, bool failed, Duration took) {
  bool isNew = version == rollout.Spec.To;
  if (isFinal(rollout.Record.Phase) || rollout.Stopped ||
      (!isNew && version != rollout.Spec.From))
    return false;
  RouteEvidence &evidence = rollout.Routes[route];
  addToAll(singleCount(isNew, failed), evidence.OwnFailures,
           evidence.Tests.Failures, rollout.Pooled.Failures);
  bool slow = false;
  if (!failed) {
    // Both versions are compared with the same threshold, before the latency is
    // added to it, so that a slowdown of the region raises both rates equally.
    Duration threshold = evidence.OldLatency.Threshold;
    slow = threshold > Duration(0) && took > threshold;
    if (threshold > Duration(0))
      addToAll(singleCount(isNew, slow), evidence.OwnSlowness,
               evidence.Tests.Slowness, rollout.Pooled.Slowness);
    if (!isNew)
      addLatency(evidence.OldLatency, took);
  }
  // While most requests go to the old version, one more of them hardly changes
  // a verdict, so it does not trigger the tests.
  if (!isNew && rollout.LastShare < MaxSuspectShare)
    return false;
  return runTests(rollout, route, evidence, isNew && (failed || slow));
}

bool mergePeerEvidence(Rollout &rollout, const VmId &peer, const RouteId &route,
                       const VersionCounts &failures,
                       const VersionCounts &slowness, bool stop) {
  if (rollout.Stopped)
    return false;
  if (stop) {
    rollout.Stopped = true;
    rollout.StopReason = "stopped by " + peer.Value;
    return true;
  }
  if (isFinal(rollout.Record.Phase))
    return false;
  RouteEvidence &evidence = rollout.Routes[route];
  bool changed = mergeTotals(evidence.PeerFailures[peer], failures,
                             evidence.Tests.Failures, rollout.Pooled.Failures);
  changed |= mergeTotals(evidence.PeerSlowness[peer], slowness,
                         evidence.Tests.Slowness, rollout.Pooled.Slowness);
  return changed && runTests(rollout, route, evidence, true);
}

bool adoptRecord(Rollout &rollout, const RolloutRecord &record) {
  RolloutRecord &own = rollout.Record;
  if (record.Name != rollout.Spec.Name || isFinal(own.Phase))
    return false;
  // A rollback is adopted whatever its revision, in any order of writes, unless
  // the own record is already final.
  if (record.Phase == RolloutPhase::RolledBack) {
    Revision rev = std::max(own.Rev, record.Rev);
    own = record;
    own.Rev = rev;
    own.Share = Ppm(0);
    if (!rollout.Stopped)
      rollout.StopReason = record.Reason;
    rollout.Stopped = true;
    return true;
  }
  if (record.Rev <= own.Rev)
    return false;
  RolloutRecord next = record;
  next.Phase = std::max(own.Phase, record.Phase);
  next.Proven = own.Proven || record.Proven;
  bool raised = record.Share > own.Share;
  if (!raised) {
    next.Share = own.Share;
    next.RaisedAt = own.RaisedAt;
  }
  own = next;
  if (raised) {
    rollout.PooledFailuresAtStep = rollout.Pooled.Failures;
    rollout.Pooled.FailureWindow.Accepted = 0;
    rollout.Pooled.SlownessWindow.Accepted = 0;
    for (auto &item : rollout.Routes)
      rollout.RouteFailuresAtStep[item.first] = item.second.Tests.Failures;
  }
  return true;
}

} // namespace savorylb
