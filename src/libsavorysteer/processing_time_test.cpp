#include "processing_times.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr double ShortCachedMs = 160;
constexpr double ShortUncachedMs = 520;
constexpr double LongCachedMs = 770;
constexpr double LongUncachedMs = 2560;

/// Adds measurements that vary by 15%; one in `uncachedEvery` is uncached.
void measure(ProcessingTime &mean, double cachedMs, double uncachedMs, int n,
             int uncachedEvery) {
  for (int i = 0; i < n; ++i) {
    double varied = 0.85 + 0.1 * (i % 4);
    bool uncached = uncachedEvery > 0 && i % uncachedEvery == 0;
    addProcessingSample(mean, varied * (uncached ? uncachedMs : cachedMs),
                        false);
  }
}

} // namespace

TEST_GROUP(ProcessingTimes){};

// Guards against an estimate that stays at that of another route, because all
// of the route's responses fall on one side of it.
TEST(ProcessingTimes, FirstEstimateIsKeptForGood) {
  ProcessingTime slow{1050, 4200};
  measure(slow, ShortCachedMs, ShortUncachedMs, 40, 5);
  DOUBLES_EQUAL(ShortCachedMs, slow.CachedMs, 0.1 * ShortCachedMs);
  DOUBLES_EQUAL(ShortUncachedMs, slow.UncachedMs, 0.1 * ShortUncachedMs);
  ProcessingTime fast{180, 560};
  measure(fast, LongCachedMs, LongUncachedMs, 40, 5);
  DOUBLES_EQUAL(LongCachedMs, fast.CachedMs, 0.1 * LongCachedMs);
  DOUBLES_EQUAL(LongUncachedMs, fast.UncachedMs, 0.1 * LongUncachedMs);
}

// Guards against taking executions of one kind, which vary a little, for two
// kinds.
TEST(ProcessingTimes, VariationLooksLikeUncachedExecutions) {
  ProcessingTime mean{180, 560};
  measure(mean, ShortCachedMs, 0, 40, 0);
  DOUBLES_EQUAL(ShortCachedMs, mean.CachedMs, 0.1 * ShortCachedMs);
  DOUBLES_EQUAL(560, mean.UncachedMs, 1e-9);
}

// Guards against taking cached executions for uncached ones because they are
// longer than the first estimate.
TEST(ProcessingTimes, KnownCachedExecutionsCountAsUncached) {
  ProcessingTime mean{180, 560};
  for (int i = 0; i < 10; ++i)
    addProcessingSample(mean, LongCachedMs, i % 2 == 0);
  DOUBLES_EQUAL(LongCachedMs, mean.CachedMs, 1);
  CHECK_TRUE(mean.UncachedMs >= mean.CachedMs);
}

// Guards against an estimate that does not follow targets that became faster.
TEST(ProcessingTimes, EarlierMeasurementsStayInTheMean) {
  ProcessingTime mean{1350, 4200};
  measure(mean, LongCachedMs, LongUncachedMs, ProcessingSamples, 5);
  measure(mean, LongCachedMs / 3, LongUncachedMs / 3, ProcessingSamples, 5);
  DOUBLES_EQUAL(LongCachedMs / 3, mean.CachedMs, 0.1 * LongCachedMs / 3);
}

// Guards against starting a route from the times of another route of the
// service, which may take several times as long.
TEST(ProcessingTimes, RouteStartsFromAnotherRoute) {
  ServiceState service;
  RouteRule reports;
  reports.Id = RouteId("reports");
  reports.LatencyTarget = Millis(3000);
  processingTime(service, reports);
  RouteRule downloads;
  downloads.Id = RouteId("downloads");
  downloads.LatencyTarget = Millis(400);
  CHECK_TRUE(processingTime(service, downloads).UncachedMs < 1000);
  DOUBLES_EQUAL(processingTime(service, reports).CachedMs / 3000,
                processingTime(service, downloads).CachedMs / 400, 1e-9);
}
