// The part of RequestProxy that responds to the caller.
#include "request_proxy.h"

#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

namespace savorylb {
namespace {

RouteOutcome routeOutcome(EventCode code, int status) {
  if (status == 0)
    return RouteOutcome::Abandoned;
  if (code == EventCode::RequestRefused)
    return RouteOutcome::Refused;
  return code == EventCode::RequestDone && status < 500 ? RouteOutcome::Answered
                                                        : RouteOutcome::Failed;
}

/// \returns expected number of requests at the target, for the log.
double expectedLoad(const SteeringState &state, const TargetId &target,
                    MonoTime now) {
  auto it = state.Targets.find(target);
  return it == state.Targets.end() ? 0 : expectedRequests(it->second, now);
}

} // namespace

void RequestProxy::refuse(int status, const char *reason, Duration retryAfter) {
  if (ChargedToTeam && !MayHaveRun)
    refundAdmission(State, Steered);
  finish(platform::localResponse(status, reason, retryAfter), reason, true);
}

void RequestProxy::fail(int status, const char *reason) {
  finish(platform::localResponse(status, reason, Duration::zero()), reason,
         true);
}

void RequestProxy::finish(HttpMessage response, const char *reason,
                          bool local) {
  Done = true;
  Deadline.cancel();
  logCompletion(response.Status, reason, local);
  auto request = Request;
  request->OnClose = nullptr;
  request->Respond(std::move(response));
}

void RequestProxy::logCompletion(int status, const char *reason, bool local) {
  MonoTime now = monoNow();
  Duration total = now - Request->ArrivedAt;
  bool refused = local && platform::guaranteesNotRun(status);
  EventCode code = !local                    ? EventCode::RequestDone
                   : refused || status < 500 ? EventCode::RequestRefused
                                             : EventCode::RequestUnknown;
  const char *outcome = !local ? "done" : refused ? "not-run" : "unknown";
  std::string route = Steered.Route ? Steered.Route->Id.Value : "";
  logEvent(code, {{"trace", Metadata.AttemptId.Value},
                  {"route", route},
                  {"service", Steered.Service.Value},
                  {"team", Steered.Team.Value},
                  {"target", CurrentSend.Target.Value},
                  {"version", CurrentSend.Version.Value},
                  {"status", static_cast<std::int64_t>(status)},
                  {"reason", std::string(reason)},
                  {"sends", static_cast<std::int64_t>(SendCount)},
                  {"config",
                   Steered.Config ? Steered.Config->Version : std::int64_t(0)},
                  {"store_reachable", State.Fleet.StoreReachable},
                  {"object", Steered.Object},
                  {"expected_ms", CurrentSend.ExpectedMs},
                  {"load_at_send", CurrentSend.LoadAtSend},
                  {"load_now", expectedLoad(State, CurrentSend.Target, now)},
                  {"total_us", total.count()}});
  countOutcome(State, Steered, routeOutcome(code, status),
               local ? reason : "status-" + std::to_string(status), total);
  Duration atTarget =
      SendCount > 0 ? now - CurrentSend.SentAt : Duration::zero();
  recordRequest(Steered.Team.Value, Steered.Service.Value,
                State.Fleet.Self.Region.Value, outcome, reason, total,
                total - atTarget);
}

} // namespace savorylb
