#include "usage_counts.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(UsageCounts) {
  const TeamId Team{"cuka620"};
  UsageCounts A;
  UsageCounts B;
  UsageCollection Collection;

  static WallTime begin(std::int64_t window) {
    return WallTime(window * Millis(5000) + Millis(100));
  }
  void count(UsageCounts & counts, std::int64_t window, int n) {
    for (int i = 0; i < n; ++i)
      countUsage(counts, Team, begin(window));
  }
  static UsageReport reportOf(const UsageCounts &counts, const char *start) {
    return makeUsageReport(counts, VmId("a"), start, 0);
  }
  void apply(const UsageReport &report) {
    applyUsageReport(Collection, report, UsageWindow(102));
  }
  std::int64_t sum() { return sumUsage(Collection, UsageWindow(100))[Team]; }
};

// Guards against counts that depend on which datagrams arrive, and how often.
TEST(UsageCounts, SurvivesLostAndRepeatedReports) {
  count(A, 100, 3);
  reportOf(A, "s1"); // Lost.
  count(A, 100, 2);
  apply(reportOf(A, "s1"));
  apply(reportOf(A, "s1"));
  LONGS_EQUAL(5, sum());
}

// Guards against an older report that overtakes a correction.
TEST(UsageCounts, IgnoresOvertakenReports) {
  count(A, 100, 3);
  UsageReport older = reportOf(A, "s1");
  uncountUsage(A, Team, begin(100));
  apply(reportOf(A, "s1"));
  apply(older);
  LONGS_EQUAL(2, sum());
}

// Guards against losing what an earlier process of a VM has counted.
TEST(UsageCounts, AddsTheStartsOfAVm) {
  count(A, 100, 3);
  apply(reportOf(A, "s1"));
  count(B, 100, 2);
  apply(reportOf(B, "s2"));
  LONGS_EQUAL(5, sum());
}

// Guards against a VM with a clock ahead that displaces the others' windows.
TEST(UsageCounts, IgnoresWindowsAhead) {
  count(A, 100, 7);
  apply(reportOf(A, "s1"));
  for (std::int64_t i = 200; i < 206; ++i)
    count(B, i, 1);
  apply(reportOf(B, "s2"));
  LONGS_EQUAL(7, sum());
}

// Guards against a VM that counts nothing after its clock was set back.
TEST(UsageCounts, CountsAfterTheClockWasSetBack) {
  for (std::int64_t i = 200; i < 206; ++i)
    count(A, i, 1);
  forgetLaterWindows(A, newestWindow(begin(100), A.Length));
  count(A, 100, 4);
  apply(reportOf(A, "s1"));
  LONGS_EQUAL(4, sum());
}
