#include "savorylb/fair_queue.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const MonoTime Now{Seconds(10)};

QueuedRequest makeRequest(const char *team, int weight = 1,
                          Duration maxWait = Seconds(10)) {
  QueuedRequest request;
  request.Team = TeamId(team);
  request.Weight = weight;
  request.EnqueuedAt = Now;
  request.ExpiresAt = Now + maxWait;
  return request;
}

std::string nextTeam(FairQueue &queue, MonoTime now = Now) {
  auto request = dequeueRequest(queue, VersionId(), now);
  return request ? request->Team.Value : "";
}

} // namespace

TEST_GROUP(FairQueue) { FairQueue Queue; };

// Guards against starvation of a team whose requests arrive after those of
// another team.
TEST(FairQueue, ServesTeamsByWeight) {
  for (int i = 0; i < 30; ++i)
    enqueueRequest(Queue, makeRequest("a"), 4, Now);
  for (int i = 0; i < 30; ++i)
    enqueueRequest(Queue, makeRequest("b", 2), 4, Now);
  int b = 0;
  for (int i = 0; i < 30; ++i)
    b += nextTeam(Queue) == "b" ? 1 : 0;
  CHECK(b >= 19 && b <= 21);
}

// Guards against queueing requests that cannot get a slot before they expire.
TEST(FairQueue, RefusesRequestsThatCannotStartInTime) {
  Queue.ServiceTime = Millis(20);
  for (int i = 0; i < 8; ++i)
    CHECK(enqueueRequest(Queue, makeRequest("a"), 4, Now).Accepted);
  EnqueueResult late =
      enqueueRequest(Queue, makeRequest("a", 1, Millis(44)), 4, Now);
  CHECK_FALSE(late.Accepted);
  CHECK(late.ExpectedWait == Duration(Millis(45)));
  CHECK(
      enqueueRequest(Queue, makeRequest("a", 1, Millis(45)), 4, Now).Accepted);
  // A request of another team is ahead in fair order although it arrived later.
  CHECK(
      enqueueRequest(Queue, makeRequest("b", 1, Millis(15)), 4, Now).Accepted);
  CHECK_FALSE(enqueueRequest(Queue, makeRequest("c"), 0, Now).Accepted);
}

// Guards against one team filling the queue, and against evicting requests of a
// team within its share.
TEST(FairQueue, EvictsOnlyTheTeamFurthestOverItsShare) {
  Queue.MaxLength = 6;
  for (int i = 0; i < 4; ++i)
    enqueueRequest(Queue, makeRequest("big"), 4, Now);
  enqueueRequest(Queue, makeRequest("small"), 4, Now);
  enqueueRequest(Queue, makeRequest("other"), 4, Now);
  EnqueueResult in = enqueueRequest(Queue, makeRequest("small"), 4, Now);
  CHECK(in.Accepted);
  LONGS_EQUAL(4, in.Evicted.value_or(0));
  CHECK_FALSE(enqueueRequest(Queue, makeRequest("big"), 4, Now).Accepted);
  LONGS_EQUAL(3, Queue.Backlogs[TeamId("big")].Count);
  LONGS_EQUAL(2, Queue.Backlogs[TeamId("small")].Count);
}

// Guards against charging a team for requests that were never served.
TEST(FairQueue, CancelledAndExpiredRequestsCostNothing) {
  std::uint64_t first = enqueueRequest(Queue, makeRequest("a"), 4, Now).Ticket;
  enqueueRequest(Queue, makeRequest("a", 1, Millis(20)), 4, Now);
  enqueueRequest(Queue, makeRequest("a"), 4, Now);
  enqueueRequest(Queue, makeRequest("b"), 4, Now);
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
  QueuedRequest request = makeRequest("a");
  request.Version = VersionId("v2");
  enqueueRequest(Queue, request, 4, Now);
  CHECK_FALSE(dequeueRequest(Queue, VersionId("v1"), Now).has_value());
  CHECK(dequeueRequest(Queue, VersionId("v2"), Now).has_value());
}
