#include "once_reply.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(OnceReply) {
  Daemon Own;
  OnceStart Start;
  bool SeenInProgress = false;

  OnceMove judge(bool reached, OnceVerdict verdict) {
    RequestContext context(Own);
    context.Attempt = 1;
    RemoteBegin reply;
    reply.Reached = reached;
    reply.Begin.Verdict = verdict;
    return judgeReply(reply, Start, context, SeenInProgress);
  }
};

// Guards against "not run" for an identity whose earlier attempt was seen under
// way before the home became unreachable.
TEST(OnceReply, UnreachableAfterInProgressIsUnknown) {
  CHECK(judge(true, OnceVerdict::InProgress) == OnceMove::PollAgain);
  CHECK(!Start.Refused.NotRun);
  CHECK(judge(false, OnceVerdict::Refused) == OnceMove::TryHomeAgain);
  CHECK(!Start.Refused.NotRun);
  CHECK(judge(true, OnceVerdict::NotHome) == OnceMove::TryHomeAgain);
  CHECK(!Start.Refused.NotRun);
  CHECK(judge(true, OnceVerdict::Refused) == OnceMove::TryHomeAgain);
  CHECK(!Start.Refused.NotRun);
}

TEST(OnceReply, UnreachableAtTheFirstAttemptIsNotRun) {
  CHECK(judge(false, OnceVerdict::Refused) == OnceMove::TryHomeAgain);
  CHECK(Start.Refused.NotRun);
}
