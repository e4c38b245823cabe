#include "request_runner.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

namespace savorylb {
namespace {

/// A request without a deadline of its own waits this long at most.
constexpr Duration DefaultPatience = Seconds(30);
/// Idle connections that a request which must not run twice may use; an older
/// one may have been forgotten by the target.
constexpr Duration MaxIdleAtMostOnce = Millis(1000);
constexpr Duration MaxIdleRepeatable = Millis(4000);
/// With less time left than this a target cannot be expected to answer.
constexpr Duration MinTimeLeft = Millis(15);
/// Retry delay told after a target refused a request.
constexpr Duration ShedRetryAfter = Millis(200);

std::string hostName(const HttpMessage &request) {
  const std::string *host = findField(request, "Host");
  if (!host)
    return "";
  std::string name = host->substr(0, host->find(':'));
  for (char &c : name)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return name;
}

/// \returns the mean of the target's expected requests, for the log.
double loadOf(const SteeringState &state, const TargetId &target,
              MonoTime now) {
  auto it = state.Targets.find(target);
  return it == state.Targets.end() ? 0 : expectedRequests(it->second, now);
}

} // namespace

RequestRunner::RequestRunner(asio::io_context &io, SteeringState &state,
                             TargetPool &pool,
                             std::shared_ptr<ServedRequest> request)
    : State(state), Pool(pool), Request(std::move(request)), Deadline(io) {}

void RequestRunner::start() {
  Notes = platform::readCallerNotes(Request->Message);
  MonoTime now = monoNow();
  Steered.ArrivedAt = Request->ArrivedAt;
  Steered.Object = Notes.Object;
  Steered.BodyBytes = static_cast<std::int64_t>(Request->Message.Body.size());
  Steered.Deadline =
      Steered.ArrivedAt +
      (Notes.Patience ? Duration(*Notes.Patience) : DefaultPatience);
  Admission admission = admitRequest(State, Steered, hostName(Request->Message),
                                     Request->Message.Path, Notes.Key, now);
  if (admission.Status != 0) {
    refuse(admission.Status, admission.Reason, admission.RetryAfter);
    return;
  }
  TokenTaken = Steered.TeamLimits != nullptr;
  std::weak_ptr<RequestRunner> weak = shared_from_this();
  auto self = shared_from_this();
  // The caller's session holds the runner through this until it has ended.
  Request->OnDisconnect = [self] { self->onGone(); };
  Deadline.expires_after(std::max(Duration::zero(), Steered.Deadline - now));
  Deadline.async_wait([weak](const boost::system::error_code &ec) {
    auto runner = weak.lock();
    if (!ec && runner)
      runner->onDeadline();
  });
  place();
}

bool RequestRunner::expired() const {
  return Steered.Deadline - monoNow() < MinTimeLeft;
}

void RequestRunner::place() {
  MonoTime now = monoNow();
  PlacementChoice choice = chooseTarget(State, Steered, now);
  if (!choice.Target) {
    Current.ExpectedMs = choice.ExpectedMs; // For the log.
    refuse(503, choice.Reason, choice.RetryAfter);
    return;
  }
  send(choice);
}

void RequestRunner::send(const PlacementChoice &choice) {
  MonoTime now = monoNow();
  TargetState &target = *choice.Target;
  Current = Send();
  Current.Target = target.Entry.Id;
  Current.Version = target.Entry.Version;
  Current.ExpectedMs = choice.ExpectedMs;
  Current.ExpectedUncachedMs = choice.ExpectedUncachedMs;
  Current.LoadAtSend = expectedRequests(target, now);
  Current.SentAt = now;
  noteSent(State, Steered, target, now);
  bool repeatable = Steered.Route->Repeat == RepeatRule::Repeatable;
  auto self = shared_from_this();
  Pool.acquire(target.Entry.Id, target.Entry.Address,
               repeatable ? MaxIdleRepeatable : MaxIdleAtMostOnce,
               [self](std::shared_ptr<HttpConnection> connection) {
                 self->onConnected(std::move(connection));
               });
}

void RequestRunner::onConnected(std::shared_ptr<HttpConnection> connection) {
  if (Done) {
    if (connection)
      Pool.release(Current.Target, connection);
    return;
  }
  if (!connection) {
    noteEnd(TargetResult::Unreachable, 0, std::nullopt);
    countEvent("target_unreachable");
    retry("unreachable");
    return;
  }
  auto found = State.Targets.find(Current.Target);
  Current.Reused = connection->Exchanges > 0;
  if (!Current.Reused && found != State.Targets.end())
    noteConnectTime(State, found->second.Entry.Zone, connection->ConnectTime);
  Current.Connection = std::move(connection);
  transmit();
}

void RequestRunner::transmit() {
  MonoTime now = monoNow();
  HttpMessage outgoing;
  outgoing.Method = Request->Message.Method;
  outgoing.Path = Request->Message.Path;
  outgoing.Fields = Request->Message.Fields;
  auto left = std::chrono::duration_cast<Millis>(Steered.Deadline - now);
  platform::writeTargetNotes(
      outgoing, {Current.Target, Steered.Team, std::max(Millis(1), left)});
  // The head tells the body's length; the body itself is sent from the
  // caller's message.
  outgoing.Body = Request->Message.Body;
  Exchange exchange;
  exchange.Head = std::make_shared<std::string>(requestHead(outgoing));
  exchange.Body = std::make_shared<std::string>(std::move(outgoing.Body));
  exchange.IsHead = Request->Message.Method == "HEAD";
  exchange.Timeout = std::max(Duration(MinTimeLeft), Steered.Deadline - now) +
                     Duration(Seconds(1));
  RequestId attempt = Notes.Attempt;
  bool reused = Current.Reused;
  exchange.Match = [attempt, reused](const HttpMessage &response) {
    platform::TargetReply reply = platform::readTargetReply(response);
    bool other =
        !attempt.empty() && !reply.Attempt.empty() && reply.Attempt != attempt;
    // Without an id on a used connection it may be a late second response to
    // an earlier request.
    bool unclear = reply.Attempt.empty() && reused && !attempt.empty();
    return other || unclear ? ResponseMatch::Skip : ResponseMatch::Accept;
  };
  auto self = shared_from_this();
  exchange.Done = [self](ExchangeOutcome end, HttpMessage &response) {
    self->onEnd(end, response);
  };
  MayHaveRun = true;
  ++TimesSent;
  Current.Connection->start(std::move(exchange));
}

void RequestRunner::noteEnd(TargetResult result, int status,
                            const std::optional<TargetLoad> &load) {
  MonoTime now = monoNow();
  SendOutcome outcome;
  outcome.Result = result;
  outcome.Status = status;
  outcome.Load = load;
  outcome.Took = now - Current.SentAt;
  outcome.ExpectedMs = Current.ExpectedMs;
  outcome.ExpectedUncachedMs = Current.ExpectedUncachedMs;
  outcome.SentAt = Current.SentAt;
  noteOutcome(State, Steered, Current.Target, outcome, now);
}

void RequestRunner::onEnd(ExchangeOutcome end, HttpMessage &response) {
  if (Done)
    return;
  if (end == ExchangeOutcome::Answered) {
    onResponse(response);
    return;
  }
  noteEnd(TargetResult::Failed, 0, std::nullopt);
  countEvent("target_broken");
  EarlierMayHaveRun = true;
  if (Steered.Route->Repeat == RepeatRule::Repeatable)
    retry("broken");
  else
    fail(502, "broken");
}

void RequestRunner::onResponse(HttpMessage &response) {
  platform::TargetReply reply = platform::readTargetReply(response);
  Pool.release(Current.Target, Current.Connection);
  if (reply.NotExecuted || reply.OtherTarget) {
    MayHaveRun = EarlierMayHaveRun;
    noteEnd(reply.OtherTarget ? TargetResult::Unreachable : TargetResult::Shed,
            response.Status, reply.Load);
    if (reply.OtherTarget)
      Pool.drop(Current.Target);
    retry(reply.OtherTarget ? "other-target" : "shed");
    return;
  }
  EarlierMayHaveRun = true;
  bool success = response.Status >= 200 && response.Status < 300;
  bool whole = !reply.Recoded && (!success || reply.Signed);
  if (!whole) {
    noteEnd(TargetResult::Failed, 0, reply.Load);
    if (Steered.Route->Repeat == RepeatRule::Repeatable)
      retry("not-its-own");
    else
      fail(502, "not-its-own");
    return;
  }
  bool failed = response.Status >= 500;
  noteEnd(failed ? TargetResult::Failed : TargetResult::Answered,
          response.Status, reply.Load);
  if (failed && Steered.Route->Repeat == RepeatRule::Repeatable && !expired() &&
      mayRepeat(State, Steered, monoNow())) {
    MonoTime now = monoNow();
    PlacementChoice choice = chooseTarget(State, Steered, now);
    if (choice.Target) {
      logEvent(EventCode::RequestRetried, {{"trace", Notes.Attempt.Value},
                                           {"target", Current.Target.Value},
                                           {"reason", std::string("failed")}});
      send(choice);
      return;
    }
  }
  // A refusal must be true; a target that ran the request cannot make it so.
  if (platform::promisesNotRun(response.Status)) {
    fail(502, "target-refused-after-run");
    return;
  }
  finish(std::move(response), "", false);
}

void RequestRunner::retry(const char *reason) {
  logEvent(EventCode::RequestRetried, {{"trace", Notes.Attempt.Value},
                                       {"target", Current.Target.Value},
                                       {"reason", std::string(reason)}});
  MonoTime now = monoNow();
  bool sent = TimesSent > 0;
  bool allowed = !expired() && (!sent || mayRepeat(State, Steered, now));
  if (allowed) {
    PlacementChoice choice = chooseTarget(State, Steered, now);
    if (choice.Target) {
      send(choice);
      return;
    }
  }
  if (MayHaveRun)
    fail(502, reason);
  else
    refuse(503, reason, ShedRetryAfter);
}

void RequestRunner::onDeadline() {
  if (Done)
    return;
  if (Current.Connection)
    Current.Connection->close();
  noteEnd(TargetResult::Failed, 0, std::nullopt);
  if (MayHaveRun)
    fail(504, "timeout");
  else
    refuse(503, "timeout", ShedRetryAfter);
}

void RequestRunner::onGone() {
  if (Done)
    return;
  Done = true;
  Deadline.cancel();
  if (Current.Connection)
    Current.Connection->close();
  auto found = State.Targets.find(Current.Target);
  if (found != State.Targets.end()) {
    auto &flying = found->second.InFlight;
    auto it = std::find(flying.begin(), flying.end(), Current.SentAt);
    if (it != flying.end())
      flying.erase(it);
  }
  logEnd(0, "caller-gone", true);
}

void RequestRunner::refuse(int status, const char *reason,
                           Duration retryAfter) {
  if (TokenTaken && !MayHaveRun)
    returnAdmission(State, Steered);
  finish(platform::ownResponse(status, reason, retryAfter), reason, true);
}

void RequestRunner::fail(int status, const char *reason) {
  finish(platform::ownResponse(status, reason, Duration::zero()), reason, true);
}

void RequestRunner::finish(HttpMessage response, const char *reason, bool own) {
  Done = true;
  Deadline.cancel();
  logEnd(response.Status, reason, own);
  auto request = Request;
  request->OnDisconnect = nullptr;
  request->Respond(std::move(response));
}

void RequestRunner::logEnd(int status, const char *reason, bool own) {
  MonoTime now = monoNow();
  Duration total = now - Request->ArrivedAt;
  bool refused = own && platform::promisesNotRun(status);
  EventCode code = !own                      ? EventCode::RequestDone
                   : refused || status < 500 ? EventCode::RequestRefused
                                             : EventCode::RequestUnknown;
  const char *outcome = !own ? "done" : refused ? "not-run" : "unknown";
  std::string route = Steered.Route ? Steered.Route->Id.Value : "";
  logEvent(code, {{"trace", Notes.Attempt.Value},
                  {"route", route},
                  {"service", Steered.Service.Value},
                  {"team", Steered.Team.Value},
                  {"target", Current.Target.Value},
                  {"version", Current.Version.Value},
                  {"status", static_cast<std::int64_t>(status)},
                  {"reason", std::string(reason)},
                  {"sends", static_cast<std::int64_t>(TimesSent)},
                  {"config",
                   Steered.Config ? Steered.Config->Version : std::int64_t(0)},
                  {"store_reachable", State.Fleet.StoreReachable},
                  {"object", Steered.Object},
                  {"expected_ms", Current.ExpectedMs},
                  {"load_at_send", Current.LoadAtSend},
                  {"load_now", loadOf(State, Current.Target, now)},
                  {"total_us", total.count()}});
  Duration atTarget = TimesSent > 0 ? now - Current.SentAt : Duration::zero();
  countRequest(Steered.Team.Value, Steered.Service.Value,
               State.Fleet.Self.Region.Value, outcome, reason, total,
               total - atTarget);
}

} // namespace savorylb
