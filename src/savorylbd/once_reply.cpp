#include "once_reply.h"

namespace savorylb {
namespace {

Refusal makeRefusal(int status, bool notRun, const char *reason,
                    const char *detail) {
  Refusal refusal;
  refusal.Status = status;
  refusal.NotRun = notRun;
  refusal.Reason = reason;
  refusal.Detail = detail;
  return refusal;
}

} // namespace

Refusal homeUnreachable(const RequestContext &context, bool seenInProgress) {
  Refusal refusal;
  refusal.Reason = "home-unreachable";
  refusal.Detail = "the VM that keeps this identity cannot be reached";
  // An earlier attempt may have run, unless the caller states that this is the
  // first one and the home has not reported another.
  refusal.NotRun = context.CallerAttempt == 1 && !seenInProgress;
  refusal.Status = refusal.NotRun ? 503 : 504;
  return refusal;
}

OnceAction evaluateReply(const RemoteBegin &reply,
                         OnceRegistration &registration,
                         const RequestContext &context, bool &seenInProgress) {
  if (!reply.Reached) {
    registration.Refused = homeUnreachable(context, seenInProgress);
    return OnceAction::RetryHome;
  }
  switch (reply.Begin.Verdict) {
  case OnceVerdict::Go:
    return OnceAction::Finish;
  case OnceVerdict::Done:
    if (reply.Begin.Answer.BodyKept)
      registration.Answer = reply.Begin.Answer;
    else
      registration.Refused =
          makeRefusal(504, false, "answer-not-kept",
                      "it ran, but its response was too large to keep");
    return OnceAction::Finish;
  case OnceVerdict::InProgress:
    seenInProgress = true;
    registration.Refused = makeRefusal(504, false, "in-progress",
                                       "an earlier attempt has not ended");
    return OnceAction::PollAgain;
  case OnceVerdict::Unknown:
    registration.Refused =
        makeRefusal(504, false, "outcome-unknown",
                    "an earlier attempt may have run; it is not run again");
    return OnceAction::Finish;
  case OnceVerdict::Conflict:
    registration.Refused =
        makeRefusal(409, true, "identity-conflict",
                    "this identity belongs to another request");
    return OnceAction::Finish;
  case OnceVerdict::NotHome:
    registration.Refused = homeUnreachable(context, seenInProgress);
    return OnceAction::RetryHome;
  case OnceVerdict::Refused:
    if (seenInProgress)
      return OnceAction::RetryHome;
    registration.Refused =
        makeRefusal(503, true, "not-replicated",
                    "the identity could not be recorded twice");
    return OnceAction::RetryHome;
  }
  return OnceAction::Finish;
}

} // namespace savorylb
