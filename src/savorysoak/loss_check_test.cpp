#include "loss_check.h"

// Redefines operator new by a macro, so it must follow the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::soak;

namespace {

constexpr Duration Grace = Seconds(6);

MonoTime at(int ms) { return MonoTime(Millis(100'000 + ms)); }

FailedRequest lostRequest(int sentMs, int endedMs) {
  FailedRequest request;
  request.SentAt = at(sentMs);
  request.EndedAt = at(endedMs);
  request.RanAtSoundTarget = true;
  return request;
}

Disruption disruption(DisruptionKind kind, int fromMs, int toMs) {
  return {kind, at(fromMs), at(toMs)};
}

void checkVerdict(LossVerdict expected, const FailedRequest &request,
                  const std::vector<Disruption> &disruptions) {
  CHECK_TRUE(expected == judgeRequest(request, disruptions, Grace));
}

} // namespace

TEST_GROUP(LossCheck){};

// Guards against accepting lost requests of undisturbed processes.
TEST(LossCheck, RequestThatRanMustBeAnswered) {
  FailedRequest request = lostRequest(0, 50);
  checkVerdict(LossVerdict::Lost, request, {});
  checkVerdict(LossVerdict::Lost, request,
               {disruption(DisruptionKind::Paused, -5000, -3001)});
  request.RanAtSoundTarget = false;
  checkVerdict(LossVerdict::NotLost, request, {});
}

// Guards against violations for requests that a kill or a pause affected.
TEST(LossCheck, KillsAndPausesAreExcused) {
  FailedRequest request = lostRequest(0, 50);
  checkVerdict(LossVerdict::Excused, request,
               {disruption(DisruptionKind::Killed, 30, 900)});
  checkVerdict(LossVerdict::Excused, request,
               {disruption(DisruptionKind::Paused, -4000, -2999)});
  checkVerdict(LossVerdict::Excused, request,
               {{DisruptionKind::Killed, at(-9000), {}}});
}

// Guards against accepting lost requests of a process that is shutting down
// and has enough time to answer.
TEST(LossCheck, ShutdownAnswersWithinFiveSixthsOfTheGracePeriod) {
  std::vector<Disruption> stop = {
      disruption(DisruptionKind::Terminated, 0, 5700)};
  checkVerdict(LossVerdict::LostInShutdown, lostRequest(-10, 20), stop);
  checkVerdict(LossVerdict::LostInShutdown, lostRequest(2900, 4999), stop);
  checkVerdict(LossVerdict::Excused, lostRequest(2900, 5000), stop);
  checkVerdict(LossVerdict::Excused, lostRequest(5800, 5850), stop);
  FailedRequest failed = lostRequest(100, 200);
  failed.Answered = true;
  checkVerdict(LossVerdict::LostInShutdown, failed, stop);
  checkVerdict(LossVerdict::NotLost, failed, {});
}

// Guards against accepting connections that close with a request on its way
// before their idle limit.
TEST(LossCheck, RequestWithinTheIdleLimitMustBeAnswered) {
  FailedRequest request = lostRequest(0, 1);
  request.RanAtSoundTarget = false;
  request.WithinIdleLimit = true;
  checkVerdict(LossVerdict::Unanswered, request, {});
  checkVerdict(LossVerdict::NotLost, request,
               {disruption(DisruptionKind::Terminated, -2800, 300)});
  request.WithinIdleLimit = false;
  checkVerdict(LossVerdict::NotLost, request, {});
}

// Guards against using a new idle timeout while the old one may be in force.
TEST(LossCheck, ReplacedIdleTimeoutCountsUntilItCannotBeInForce) {
  std::vector<IdleTimeoutChange> changes = {{at(0), Millis(400)},
                                            {at(1000), Seconds(15)}};
  CHECK_TRUE(shortestIdleTimeout(changes, at(8500)) == Duration(Millis(400)));
  CHECK_TRUE(shortestIdleTimeout(changes, at(8501)) == Duration(Seconds(15)));
}
