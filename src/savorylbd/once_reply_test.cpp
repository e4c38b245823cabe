#include "once_reply.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(OnceReply) {
  Daemon Own;
  OnceRegistration Registration;
  bool SeenInProgress = false;

  OnceAction evaluate(bool reached, OnceVerdict verdict) {
    RequestContext context(Own);
    context.CallerAttempt = 1;
    RemoteBegin reply;
    reply.Reached = reached;
    reply.Begin.Verdict = verdict;
    return evaluateReply(reply, Registration, context, SeenInProgress);
  }
};

// Guards against reporting not-run for an identity whose earlier attempt was
// reported in progress before the home became unreachable.
TEST(OnceReply, UnreachableAfterInProgressIsUnknown) {
  CHECK(evaluate(true, OnceVerdict::InProgress) == OnceAction::PollAgain);
  CHECK(!Registration.Refused.NotRun);
  CHECK(evaluate(false, OnceVerdict::Refused) == OnceAction::RetryHome);
  CHECK(!Registration.Refused.NotRun);
  CHECK(evaluate(true, OnceVerdict::NotHome) == OnceAction::RetryHome);
  CHECK(!Registration.Refused.NotRun);
  CHECK(evaluate(true, OnceVerdict::Refused) == OnceAction::RetryHome);
  CHECK(!Registration.Refused.NotRun);
}

TEST(OnceReply, UnreachableAtTheFirstAttemptIsNotRun) {
  CHECK(evaluate(false, OnceVerdict::Refused) == OnceAction::RetryHome);
  CHECK(Registration.Refused.NotRun);
}
