#include "savorylb/fair_queue.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const MonoTime Now{Seconds(10)};

QueuedRequest requestOf(const char *team, int weight = 1,
                        Duration patience = Seconds(10)) {
  QueuedRequest request;
  request.Team = TeamId(team);
  request.Weight = weight;
  request.EnqueuedAt = Now;
  request.GiveUpAt = Now + patience;
  return request;
}

std::string nextTeam(FairQueue &queue, MonoTime now = Now) {
  auto request = dequeueRequest(queue, VersionId(), now);
  return request ? request->Team.Value : "";
}

} // namespace

TEST_GROUP(FairQueue) { FairQueue Queue; };

// Guards against a team that came first starving one that came later.
TEST(FairQueue, ServesTeamsByWeight) {
  for (int i = 0; i < 30; ++i)
    enqueueRequest(Queue, requestOf("a"), 4, Now);
  for (int i = 0; i < 30; ++i)
    enqueueRequest(Queue, requestOf("b", 2), 4, Now);
  int b = 0;
  for (int i = 0; i < 30; ++i)
    b += nextTeam(Queue) == "b" ? 1 : 0;
  CHECK(b >= 19 && b <= 21);
}

// Guards against requests that wait for a slot that cannot come in time.
TEST(FairQueue, RefusesWhatCannotMakeIt) {
  Queue.ServiceTime = Millis(20);
  for (int i = 0; i < 8; ++i)
    CHECK(enqueueRequest(Queue, requestOf("a"), 4, Now).Accepted);
  EnqueueResult late =
      enqueueRequest(Queue, requestOf("a", 1, Millis(44)), 4, Now);
  CHECK_FALSE(late.Accepted);
  CHECK(late.ExpectedWait == Duration(Millis(45)));
  CHECK(enqueueRequest(Queue, requestOf("a", 1, Millis(45)), 4, Now).Accepted);
  // Another team is ahead in fair order although it comes later.
  CHECK(enqueueRequest(Queue, requestOf("b", 1, Millis(15)), 4, Now).Accepted);
  CHECK_FALSE(enqueueRequest(Queue, requestOf("c"), 0, Now).Accepted);
}

// Guards against one team filling the queue, and against dropping requests of
// a team within its share.
TEST(FairQueue, EvictsOnlyTheTeamFurthestOverItsShare) {
  Queue.MaxLength = 6;
  for (int i = 0; i < 4; ++i)
    enqueueRequest(Queue, requestOf("big"), 4, Now);
  enqueueRequest(Queue, requestOf("small"), 4, Now);
  enqueueRequest(Queue, requestOf("other"), 4, Now);
  EnqueueResult in = enqueueRequest(Queue, requestOf("small"), 4, Now);
  CHECK(in.Accepted);
  LONGS_EQUAL(4, in.Evicted.value_or(0));
  CHECK_FALSE(enqueueRequest(Queue, requestOf("big"), 4, Now).Accepted);
  LONGS_EQUAL(3, Queue.Backlogs[TeamId("big")].Count);
  LONGS_EQUAL(2, Queue.Backlogs[TeamId("small")].Count);
}

// Guards against a team that pays for requests that were never served.
TEST(FairQueue, CancelledAndExpiredRequestsCostNothing) {
  std::uint64_t first = enqueueRequest(Queue, requestOf("a"), 4, Now).Ticket;
  enqueueRequest(Queue, requestOf("a", 1, Millis(20)), 4, Now);
  enqueueRequest(Queue, requestOf("a"), 4, Now);
  enqueueRequest(Queue, requestOf("b"), 4, Now);
  CHECK(cancelRequest(Queue, first));
  CHECK_FALSE(cancelRequest(Queue, first));
  MonoTime later = Now + Millis(21);
  LONGS_EQUAL(1, expireRequests(Queue, later).size());
  DOUBLES_EQUAL(1, Queue.LastFinish[TeamId("a")], 0);
  STRCMP_EQUAL("a", nextTeam(Queue, later).c_str());
  STRCMP_EQUAL("b", nextTeam(Queue, later).c_str());
  STRCMP_EQUAL("", nextTeam(Queue, later).c_str());
}

// Guards against granting a slot of one version to a request for another.
TEST(FairQueue, MatchesVersions) {
  QueuedRequest request = requestOf("a");
  request.Version = VersionId("v2");
  enqueueRequest(Queue, request, 4, Now);
  CHECK_FALSE(dequeueRequest(Queue, VersionId("v1"), Now).has_value());
  CHECK(dequeueRequest(Queue, VersionId("v2"), Now).has_value());
}
