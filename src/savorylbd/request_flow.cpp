#include "request_flow.h"

#include "request_once.h"
#include "request_place.h"
#include "savorylb/clock.h"
#include "savorylb/digest.h"
#include "savorylb/event_log.h"
#include "stage_timer.h"

#include <algorithm>
#include <sstream>

namespace savorylb {
namespace {

constexpr int MaxAttempts = 3;
/// Three round trips to another region. With a shorter limit, requests are
/// refused whose tokens are held there.
constexpr Duration MaxBorrowTime = Millis(150);

Refusal makeRefusal(int status, const std::string &reason,
                    const std::string &detail = "", Duration retryAfter = {}) {
  Refusal refusal;
  refusal.Status = status;
  refusal.Reason = reason;
  refusal.Detail = detail;
  refusal.RetryAfter = retryAfter;
  return refusal;
}

bool isAtMostOnce(const RequestContext &context) {
  return context.Service->Mode == Execution::AtMostOnce;
}

/// The key may have been revoked while the request waited.
bool keyStillValid(const RequestContext &context) {
  if (context.KeyDigest.empty())
    return true;
  SnapshotPtr latest = currentSnapshot(context.LocalDaemon);
  std::optional<TeamId> team = teamOfKey(latest->Keys, context.KeyDigest);
  return team && *team == context.Team;
}

SlotResult slotResult(const TargetResponse &response) {
  if (response.Outcome == TargetOutcome::Done)
    return SlotResult::Done;
  if (response.Reason == "shed")
    return SlotResult::Shed;
  if (response.Reason == "timeout")
    return response.MayStillRun ? SlotResult::TimedOutBusy
                                : SlotResult::TimedOut;
  // These reasons come from the caller or the connection and say nothing about
  // the target.
  if (response.Reason == "cancelled" || response.Reason == "caller-gone" ||
      response.Reason == "request-cut" || response.Reason == "silent")
    return response.MayStillRun ? SlotResult::AbandonedBusy
                                : SlotResult::Unused;
  return SlotResult::Failed;
}

bool countsAsFailure(const TargetResponse &response) {
  if (response.Outcome == TargetOutcome::Done)
    return response.Status >= 500;
  SlotResult result = slotResult(response);
  return result == SlotResult::Failed || result == SlotResult::TimedOut ||
         result == SlotResult::TimedOutBusy;
}

void updateResponseSize(RequestContext &context, std::int64_t bytes) {
  std::shared_ptr<ServiceShard> shard =
      serviceShard(context.LocalDaemon, context.Service->Name);
  if (!shard)
    return;
  std::lock_guard<std::mutex> guard(shard->Lock);
  shard->MeanResponseBytes += (bytes - shard->MeanResponseBytes) / 16;
}

TargetResponse sendAttempt(RequestContext &context, const PlacedSlot &slot,
                           bool first, const ResponseSink &sink) {
  TargetRequest request;
  request.Address = slot.Grant.Address;
  request.Method = context.Method;
  request.Path = context.Path;
  request.Headers = context.Headers;
  request.Headers.emplace_back("X-Team", context.Team.Value);
  request.Nonce = randomHex(8);
  // The owner frees the slot soon after the grant expires.
  request.Remaining =
      std::min({timeLeft(context), context.Service->MaxTime,
                std::max(Duration(0), slot.Grant.ExpiresAt - monoNow())});
  request.RequireEcho = context.Service->RequireEcho;
  request.Repeatable = !isAtMostOnce(context) && bodyReplayable(context);
  // A retry, or a request that cannot be sent again, must not wait on an
  // unresponsive connection.
  request.NewConnection = !request.Repeatable || !first;
  // An at-most-once request is not cancelled, so that its response can answer
  // repeats.
  if (!isAtMostOnce(context))
    request.Cancelled = context.CallerDisconnected;
  request.BodyLength = context.BodyLength;
  std::istringstream buffered(context.BufferedBody);
  request.Body = context.BodyStream ? context.BodyStream : &buffered;
  if (context.BodyLength == 0)
    request.Body = nullptr;
  StageTimer timer("target");
  TargetResponse response = context.LocalDaemon.Targets.Send(request, sink);
  context.TargetTime += response.Took;
  return response;
}

/// \param fallback old version to which the next attempt goes; empty if there
/// is none.
/// \returns whether another attempt may be made.
bool mayRetry(RequestContext &context, const TargetResponse &response,
              const VersionId &fallback) {
  bool notRun = response.Outcome == TargetOutcome::NotRun;
  if (!notRun && (isAtMostOnce(context) || response.Streamed))
    return false;
  if (!bodyReplayable(context) && response.SentBytes > 0)
    return false;
  if (response.Reason == "cancelled" || response.Reason == "caller-gone" ||
      timeLeft(context) == Duration(0))
    return false;
  // Requests that a new version refuses are retried on the old version without
  // using the retry budget: if the new version refuses everything, that is its
  // whole share of the traffic.
  if (notRun && !fallback.empty())
    return true;
  std::shared_ptr<ServiceShard> shard =
      serviceShard(context.LocalDaemon, context.Service->Name);
  if (!shard)
    return false;
  std::lock_guard<std::mutex> guard(shard->Lock);
  return spendRetry(shard->Retries);
}

Refusal refusalForResponse(const TargetResponse &response) {
  bool notRun = response.Outcome == TargetOutcome::NotRun;
  Refusal refusal;
  refusal.NotRun = notRun;
  refusal.Reason = notRun ? "target-" + response.Reason : response.Reason;
  if (notRun)
    refusal.Status = 503;
  else
    refusal.Status = response.Reason == "timeout" ? 504 : 502;
  return refusal;
}

void logRetry(const RequestContext &context, const PlacedSlot &slot,
              const TargetResponse &response) {
  logEvent(EventCode::RequestRetried, {{"trace", context.Trace},
                                       {"target", slot.Grant.Target.Value},
                                       {"reason", response.Reason}});
}

void logRejectedResponse(const RequestContext &context, const PlacedSlot &slot,
                         const TargetResponse &response) {
  if (response.Outcome == TargetOutcome::Unknown)
    logEvent(EventCode::ResponseRejected, {{"trace", context.Trace},
                                           {"target", slot.Grant.Target.Value},
                                           {"reason", response.Reason},
                                           {"status", response.Status}});
}

/// Finds a slot of a version, or of the old version if the new one has no free
/// slot.
Placement placeVersion(RequestContext &context, const VersionId &version,
                       const TargetId &avoid) {
  VersionId old =
      fallbackVersion(context.LocalDaemon, context.Service->Name, version);
  if (old.empty())
    return placeAttempt(context, version, avoid);
  // A request does not queue for the new version while the old one can serve
  // it.
  Placement placed = placeAttempt(context, version, avoid, SlotWait::None);
  if (!placed.Slot)
    placed = placeAttempt(context, old, avoid);
  return placed.Slot ? placed : placeAttempt(context, version, avoid);
}

/// Finds a slot of a version that its rollout has not stopped.
/// \param wanted version of this attempt; empty to choose one.
Placement placeAllowed(RequestContext &context, const VersionId &wanted,
                       const TargetId &avoid) {
  StageTimer timer("place");
  VersionId version = wanted.empty()
                          ? versionFor(context.LocalDaemon,
                                       context.Service->Name, context.Route)
                          : wanted;
  Placement placed = placeVersion(context, version, avoid);
  if (!placed.Slot)
    return placed;
  // The version may have been stopped while the request waited in a queue.
  if (versionStopped(context.LocalDaemon, context.Service->Name,
                     placed.Slot->Grant.Version)) {
    releasePlacedSlot(context, *placed.Slot, SlotResult::Unused, {}, 0);
    version =
        versionFor(context.LocalDaemon, context.Service->Name, context.Route);
    placed = placeVersion(context, version, avoid);
  }
  return placed;
}

RequestResult runAttempts(RequestContext &context, const ResponseSink &sink) {
  RequestResult result;
  TargetId avoid;
  VersionId wanted;
  for (int attempt = 1;; ++attempt) {
    Placement placed = placeAllowed(context, wanted, avoid);
    if (!placed.Slot) {
      // An earlier attempt may have run; its outcome is reported.
      if (!result.Refused)
        result.Refused = makeRefusal(503, placed.Reason, "", placed.RetryAfter);
      return result;
    }
    const PlacedSlot &slot = *placed.Slot;
    if (!keyStillValid(context)) {
      releasePlacedSlot(context, slot, SlotResult::Unused, {}, 0);
      if (!result.Refused)
        result.Refused = makeRefusal(401, "unknown-key");
      return result;
    }
    TargetResponse response = sendAttempt(context, slot, attempt == 1, sink);
    releasePlacedSlot(context, slot, slotResult(response), response.Took,
                      response.SentBytes + response.BodyBytes);
    observeRequest(context.LocalDaemon, context.Service->Name, context.Route,
                   slot.Grant.Version, countsAsFailure(response),
                   response.Took);
    result.Target = slot.Grant.Target;
    result.Version = slot.Grant.Version;
    if (response.Outcome == TargetOutcome::Done) {
      updateResponseSize(context, response.BodyBytes);
      result.Refused.reset();
      result.Response = std::move(response);
      return result;
    }
    logRejectedResponse(context, slot, response);
    // If one attempt may have run, the outcome of the request is unknown.
    bool earlierMayHaveRun = result.Refused && !result.Refused->NotRun;
    if (!earlierMayHaveRun)
      result.Refused = refusalForResponse(response);
    if (response.Streamed) {
      result.Response = std::move(response);
      return result;
    }
    // What the new version refused or failed is retried on the old one, since
    // the new one may have no other target.
    wanted = fallbackVersion(context.LocalDaemon, context.Service->Name,
                             slot.Grant.Version);
    if (attempt >= MaxAttempts || !mayRetry(context, response, wanted))
      return result;
    logRetry(context, slot, response);
    avoid = slot.Grant.Target;
  }
}

bool admit(RequestContext &context, RequestResult &result) {
  StageTimer timer("admit");
  Duration retryAfter{};
  Duration timeout = std::min(MaxBorrowTime, timeLeft(context) / 10);
  if (admitRequest(context.LocalDaemon, context.Team, timeout, retryAfter))
    return true;
  // Callers retry at another VM after 503, but take 429 as valid for all VMs.
  if (hasUsableShare(context.LocalDaemon, context.Team))
    result.Refused =
        makeRefusal(429, "rate", "the team is over its rate", retryAfter);
  else
    result.Refused =
        makeRefusal(503, "no-share",
                    "this VM has no part of the rates to use now", retryAfter);
  return false;
}

StoredAnswer toStored(const TargetResponse &response) {
  StoredAnswer answer;
  answer.Status = response.Status;
  answer.Headers = response.Headers;
  answer.BodyKept = !response.Streamed && response.Body.size() <= MaxStoredBody;
  if (answer.BodyKept)
    answer.Body = response.Body;
  return answer;
}

TargetResponse fromStored(StoredAnswer answer) {
  TargetResponse response;
  response.Outcome = TargetOutcome::Done;
  response.Status = answer.Status;
  response.Headers = std::move(answer.Headers);
  response.Body = std::move(answer.Body);
  response.BodyBytes = static_cast<std::int64_t>(response.Body.size());
  return response;
}

RequestResult runAtMostOnce(RequestContext &context, const ResponseSink &sink) {
  RequestResult result;
  OnceRegistration registration = registerOnce(context);
  if (registration.Answer) {
    result.Response = fromStored(std::move(*registration.Answer));
    result.Repeated = true;
    return result;
  }
  if (!registration.Permit) {
    result.Refused = registration.Refused;
    return result;
  }
  if (admit(context, result))
    result = runAttempts(context, sink);
  bool done = result.Response && !result.Refused;
  bool notRun = result.Refused && result.Refused->NotRun;
  reportOnceOutcome(context, *registration.Permit,
                    done ? "done" : (notRun ? "not_run" : "unknown"),
                    done ? toStored(*result.Response) : StoredAnswer{});
  return result;
}

} // namespace

RequestResult runRequest(RequestContext &context, const ResponseSink &sink) {
  std::shared_ptr<ServiceShard> shard =
      serviceShard(context.LocalDaemon, context.Service->Name);
  if (shard) {
    std::lock_guard<std::mutex> guard(shard->Lock);
    earnRetry(shard->Retries);
  }
  if (isAtMostOnce(context))
    return runAtMostOnce(context, sink);
  RequestResult result;
  if (admit(context, result))
    result = runAttempts(context, sink);
  return result;
}

} // namespace savorylb
