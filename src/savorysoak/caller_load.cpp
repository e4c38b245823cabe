#include "caller_load.h"

#include "savorylb/clock.h"

#include <algorithm>

namespace savorylb::soak {
namespace {

using standin::CallerRequest;
using standin::CallerResult;

constexpr Millis RequestTimeout(1500);
constexpr Duration AbandonAfter = Millis(10);
/// Time for which a withdrawn key may still be accepted: three times the 2.5 s
/// within which a configuration must be in force, because store faults delay
/// it.
constexpr Duration WithdrawnKeyGrace = Millis(7500);
/// Minimum ratio of served to sent requests after the recovery.
constexpr double MinServedRatioAfterRecovery = 0.95;
constexpr std::size_t MaxIdlePerVm = 16;
/// Idle timeouts above this do not expire within a run.
constexpr Duration MaxAwaitedIdle = Seconds(2);
/// Requests at the idle timeout are sent from this time before it, within a
/// span in which the VM's timer expires.
constexpr Duration TimeoutLead = Millis(2);
constexpr std::size_t TimeoutSpanUs = 3000;

} // namespace

CallerLoad::CallerLoad(SoakFleet &fleet)
    : Fleet(fleet), Random(fleet.Options.Seed ^ 0x9e3779b97f4a7c15),
      Idle(fleet.Options.Vms) {}

void CallerLoad::sendNext() {
  if (Stopped)
    return;
  std::size_t vm = randomBelow(Fleet.Vms.size());
  bool useKept = randomBelow(5) < 3;
  auto kept = useKept ? takeIdle(vm) : std::nullopt;
  if (kept)
    sendOnKept(vm, *kept, IdlePhase::Pooled);
  else
    sendOnNew(vm, useKept);
  runAfter(Fleet, Duration(Seconds(1)) / Fleet.Options.Rate,
           [this] { sendNext(); });
}

CallerRequest CallerLoad::makeRequest(std::size_t vm, IdlePhase phase) {
  CallerRequest request;
  request.Attempt = "s" + std::to_string(Fleet.Options.Seed) + "-" +
                    std::to_string(Fleet.Report.Sent++);
  bool once = randomBelow(2) == 0;
  if (once) {
    request.Method = "POST";
    request.Path = "/permits/1";
    request.Body = "zone";
  }
  request.AffinityKey = std::to_string(randomBelow(20));
  request.Timeout = RequestTimeout;
  request.Key = Fleet.Key;
  if (!Fleet.WithdrawnKeys.empty() && randomBelow(10) == 0)
    request.Key = Fleet.WithdrawnKeys.begin()->first;
  SentRequest sent;
  sent.AtMostOnce = once;
  sent.Key = request.Key;
  sent.SentAt = monoNow();
  sent.Vm = vm;
  sent.Phase = phase;
  // The VM may close a connection whose idle timeout expires.
  sent.CountsForRecovery = Fleet.CheckingRecovery && request.Key == Fleet.Key &&
                           phase != IdlePhase::AtTimeout;
  RecoverySent += sent.CountsForRecovery;
  Attempts[request.Attempt] = sent;
  return request;
}

void CallerLoad::sendOnNew(std::size_t vm, bool keepOpen) {
  CallerRequest request = makeRequest(vm, IdlePhase::New);
  std::string address = Fleet.Platform.callerAddress(Fleet.Vms[vm].Number);
  auto handler = makeHandler(request.Attempt);
  if (!keepOpen) {
    abandonSome(standin::callVm(Fleet.Io, address, request, handler));
    return;
  }
  MonoTime sentAt = monoNow();
  auto opened = std::make_shared<std::weak_ptr<HttpConnection>>();
  auto connection = standin::callAndKeep(
      Fleet.Io, address, request,
      [this, vm, opened, handler, sentAt](const CallerResult &result) {
        handler(result);
        if (auto open = opened->lock())
          keep(vm, {open, sentAt});
      });
  *opened = connection;
  abandonSome(connection);
}

void CallerLoad::sendOnKept(std::size_t vm, const KeptConnection &kept,
                            IdlePhase phase) {
  ++Fleet.Report.Kept;
  Fleet.Report.AtIdleTimeout += phase == IdlePhase::AtTimeout;
  CallerRequest request = makeRequest(vm, phase);
  SentRequest &sent = Attempts[request.Attempt];
  sent.IdleTime = sent.SentAt - kept.Connection->IdleSince;
  sent.WithinIdleLimit = withinIdleLimit(kept);
  auto handler = makeHandler(request.Attempt);
  std::weak_ptr<HttpConnection> weak = kept.Connection;
  MonoTime sentAt = sent.SentAt;
  standin::callOnConnection(
      kept.Connection, request,
      [this, vm, weak, handler, sentAt](const CallerResult &result) {
        handler(result);
        if (auto open = weak.lock())
          keep(vm, {open, sentAt});
      });
  abandonSome(kept.Connection);
}

void CallerLoad::abandonSome(
    const std::shared_ptr<HttpConnection> &connection) {
  if (Fleet.CheckingRecovery || randomBelow(40) != 0)
    return;
  int exchanges = connection->Exchanges;
  runAfter(Fleet, AbandonAfter, [connection, exchanges] {
    // A connection that has been answered may carry another request.
    if (connection->Exchanges == exchanges)
      connection->close();
  });
}

standin::CallerHandler CallerLoad::makeHandler(const std::string &attempt) {
  return [this, attempt](const CallerResult &it) { onResult(attempt, it); };
}

bool CallerLoad::withinIdleLimit(const KeptConnection &kept) const {
  Duration limit =
      shortestIdleTimeout(Fleet.IdleTimeouts, kept.LastSentAt) * 4 / 5;
  return monoNow() - kept.LastSentAt <= limit;
}

void CallerLoad::keep(std::size_t vm, const KeptConnection &kept) {
  if (Stopped || !kept.Connection->reusable())
    return;
  std::size_t choice = randomBelow(4);
  MonoTime now = monoNow();
  Duration shortest = shortestIdleTimeout(Fleet.IdleTimeouts, kept.LastSentAt);
  Duration newest = Fleet.IdleTimeouts.back().Idle;
  IdlePhase phase = IdlePhase::Pooled;
  Duration wait{0};
  if (choice == 0 && shortest < MaxAwaitedIdle) {
    phase = IdlePhase::WithinLimit;
    Duration limit = shortest * 4 / 5;
    wait = kept.LastSentAt + limit * (60 + randomBelow(40)) / 100 - now;
  } else if (choice == 1 && newest < MaxAwaitedIdle) {
    phase = IdlePhase::AtTimeout;
    wait = newest - TimeoutLead + Duration(randomBelow(TimeoutSpanUs));
  }
  if (phase == IdlePhase::Pooled) {
    if (Idle[vm].size() < MaxIdlePerVm)
      Idle[vm].push_back(kept);
    else
      kept.Connection->close();
    return;
  }
  runAfter(Fleet, std::max(Duration::zero(), wait), [this, vm, kept, phase] {
    if (kept.Connection->reusable() && !Stopped)
      sendOnKept(vm, kept, phase);
    else
      checkClosedIdle(vm, kept);
  });
}

std::optional<CallerLoad::KeptConnection> CallerLoad::takeIdle(std::size_t vm) {
  while (!Idle[vm].empty()) {
    KeptConnection kept = Idle[vm].back();
    Idle[vm].pop_back();
    if (kept.Connection->reusable())
      return kept;
    checkClosedIdle(vm, kept);
  }
  return std::nullopt;
}

void CallerLoad::checkClosedIdle(std::size_t vm, const KeptConnection &kept) {
  const SoakVm &it = Fleet.Vms[vm];
  if (!kept.Connection->reusable() && withinIdleLimit(kept) &&
      !isDisrupted(it.Disruptions, kept.LastSentAt, monoNow()))
    addViolation(Fleet, "vm-" + std::to_string(it.Number) +
                            ": closed a connection before four fifths of its "
                            "idle timeout");
}

void CallerLoad::onResult(const std::string &attempt,
                          const CallerResult &result) {
  SentRequest &sent = Attempts[attempt];
  sent.EndedAt = monoNow();
  sent.Status = result.Status;
  sent.Signed = result.HasSignature;
  sent.Sent = result.Sent;
  bool success = result.Status == 200;
  SoakReport &report = Fleet.Report;
  report.Served += success;
  report.Refused += standin::guaranteesNotRun(result.Status);
  report.Unknown += !success && !standin::guaranteesNotRun(result.Status);
  RecoveryServed += sent.CountsForRecovery && success;
  if (success &&
      (!result.HasSignature || result.Body != "answer to " + attempt))
    addViolation(Fleet,
                 attempt +
                     ": a success that is unsigned or answers another request");
  auto withdrawn = Fleet.WithdrawnKeys.find(sent.Key);
  if (success && withdrawn != Fleet.WithdrawnKeys.end() &&
      sent.SentAt > withdrawn->second + WithdrawnKeyGrace)
    addViolation(Fleet,
                 attempt + ": served with a key after its withdrawal grace");
  if (result.Status == 404)
    addViolation(Fleet, attempt + ": 404 for a route that exists in every "
                                  "configuration");
}

void CallerLoad::checkRequests() {
  for (const auto &[attempt, sent] : Attempts) {
    checkRuns(attempt, sent);
    checkLoss(attempt, sent);
  }
  for (const auto &it : Fleet.Platform.Targets)
    if (it->KeysSeen > 0)
      addViolation(Fleet, "a target received a caller's key");
  if (RecoveryServed < MinServedRatioAfterRecovery * RecoverySent ||
      RecoverySent == 0)
    addViolation(Fleet, "only " + std::to_string(RecoveryServed) + " of " +
                            std::to_string(RecoverySent) +
                            " served after the faults");
}

void CallerLoad::checkRuns(const std::string &attempt,
                           const SentRequest &sent) {
  int runs = Fleet.Platform.runCount(attempt);
  if (sent.AtMostOnce && runs > 1)
    addViolation(Fleet, attempt + ": ran " + std::to_string(runs) + " times");
  if (sent.AtMostOnce && runs > 0 && sent.Status &&
      standin::guaranteesNotRun(*sent.Status))
    addViolation(Fleet, attempt + ": ran though it was refused with " +
                            std::to_string(*sent.Status));
}

void CallerLoad::checkLoss(const std::string &attempt,
                           const SentRequest &sent) {
  bool ownFailure = sent.Status == 502 && !sent.Signed;
  if (!sent.Sent || (sent.Status != 0 && !ownFailure))
    return;
  FailedRequest request;
  request.SentAt = sent.SentAt;
  request.EndedAt = sent.EndedAt;
  request.Answered = sent.Status != 0;
  request.WithinIdleLimit =
      sent.Phase == IdlePhase::New || sent.WithinIdleLimit;
  request.RanAtSoundTarget =
      ranAtSoundTarget(Fleet, attempt, sent.SentAt, sent.EndedAt);
  const SoakVm &vm = Fleet.Vms[sent.Vm];
  LossVerdict verdict = judgeRequest(request, vm.Disruptions, GracePeriod);
  Fleet.Report.Excused += verdict == LossVerdict::Excused;
  if (verdict == LossVerdict::NotLost)
    return;
  static const char *const phases[] = {"a new connection", "a kept connection",
                                       "a connection within its idle limit",
                                       "a connection at its idle timeout"};
  static const char *const verdicts[] = {
      "", "lost beside a disruption", "ran and got no answer",
      "ran and got no answer after SIGTERM", "got no answer"};
  std::string text = attempt + ": " + verdicts[static_cast<int>(verdict)] +
                     ", at vm-" + std::to_string(vm.Number) + " on " +
                     phases[static_cast<int>(sent.Phase)] + ", idle for " +
                     std::to_string(sent.IdleTime.count()) + " us, after " +
                     std::to_string((sent.EndedAt - sent.SentAt).count()) +
                     " us";
  if (verdict == LossVerdict::Excused)
    logLine(Fleet, text);
  else
    addViolation(Fleet, text);
}

} // namespace savorylb::soak
