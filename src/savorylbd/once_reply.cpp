#include "once_reply.h"

namespace savorylb {
namespace {

Refusal plain(int status, bool notRun, const char *reason, const char *detail) {
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
  // An earlier attempt may have run, unless the caller says that this is the
  // first and the home has not shown another one.
  refusal.NotRun = context.Attempt == 1 && !seenInProgress;
  refusal.Status = refusal.NotRun ? 503 : 504;
  return refusal;
}

OnceMove judgeReply(const RemoteBegin &reply, OnceStart &start,
                    const RequestContext &context, bool &seenInProgress) {
  if (!reply.Reached) {
    start.Refused = homeUnreachable(context, seenInProgress);
    return OnceMove::TryHomeAgain;
  }
  switch (reply.Begin.Verdict) {
  case OnceVerdict::Go:
    return OnceMove::Finish;
  case OnceVerdict::Done:
    if (reply.Begin.Answer.BodyKept)
      start.Answer = reply.Begin.Answer;
    else
      start.Refused = plain(504, false, "answer-not-kept",
                            "it ran, but its response was too large to keep");
    return OnceMove::Finish;
  case OnceVerdict::InProgress:
    seenInProgress = true;
    start.Refused =
        plain(504, false, "in-progress", "an earlier attempt has not ended");
    return OnceMove::PollAgain;
  case OnceVerdict::Unknown:
    start.Refused =
        plain(504, false, "outcome-unknown",
              "an earlier attempt may have run; it is not run again");
    return OnceMove::Finish;
  case OnceVerdict::Conflict:
    start.Refused = plain(409, true, "identity-conflict",
                          "this identity belongs to another request");
    return OnceMove::Finish;
  case OnceVerdict::NotHome:
    start.Refused = homeUnreachable(context, seenInProgress);
    return OnceMove::TryHomeAgain;
  case OnceVerdict::Refused:
    if (seenInProgress)
      return OnceMove::TryHomeAgain;
    start.Refused = plain(503, true, "not-replicated",
                          "the identity could not be recorded twice");
    return OnceMove::TryHomeAgain;
  }
  return OnceMove::Finish;
}

} // namespace savorylb
