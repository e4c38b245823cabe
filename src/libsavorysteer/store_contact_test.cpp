#include "store_contact.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
constexpr Duration RenewInterval = Millis(800);

/// The store serves renewals of the lease until a time, and again from a time.
StoreContact contactAfterOutage(Duration from, Duration until, Duration end) {
  StoreContact contact;
  for (Duration at{0}; at <= end; at += RenewInterval)
    if (at < from || at >= until)
      recordServed(contact, Start + at);
  return contact;
}

} // namespace

TEST_GROUP(StoreContact){};

// Guards against taking a watch that an outage broke, and that fails long after
// it, for a later outage.
TEST(StoreContact, LateFailureMovesTheEndOfTheOutage) {
  StoreContact contact =
      contactAfterOutage(Millis(1000), Millis(3000), Millis(6400));
  MonoTime back = Start + Millis(3200);
  CHECK_TRUE(awayUntil(contact, CallFailure::NotServed, Start + Millis(2900),
                       Start + Millis(6800)) == back);
}

// Guards against taking the store for served after a call that failed while it
// was away, or while no other call shows that it is back.
TEST(StoreContact, OutageInProgressCountsAsEnded) {
  StoreContact contact =
      contactAfterOutage(Millis(1000), Seconds(60), Millis(6400));
  MonoTime failed = Start + Millis(2500);
  CHECK_TRUE(awayUntil(contact, CallFailure::NotServed, Start + Millis(1600),
                       failed) == failed);
}

// Guards against taking the end of an outage before the call for that of the
// one that broke it.
TEST(StoreContact, EarlierOutageExplainsAFailure) {
  StoreContact contact =
      contactAfterOutage(Millis(1000), Millis(3000), Millis(6400));
  MonoTime failed = Start + Millis(6500);
  CHECK_TRUE(awayUntil(contact, CallFailure::NotServed, Start + Millis(4000),
                       failed) == failed);
}

// Guards against an outage that cut watches stand for while the store serves
// all other calls, and against missing one that is or was there.
TEST(StoreContact, CutWatchCountsAsOutage) {
  StoreContact serves = contactAfterOutage(Seconds(60), {}, Millis(6400));
  MonoTime sent = Start + Millis(5000);
  MonoTime cut = Start + Millis(6500);
  CHECK_FALSE(awayUntil(serves, CallFailure::WatchCut, sent, cut).has_value());
  CHECK_TRUE(awayUntil(serves, CallFailure::NotServed, sent, cut) == cut);
  MonoTime sentAfter = Start + Millis(6450);
  CHECK_TRUE(awayUntil(serves, CallFailure::WatchCut, sentAfter, cut) == cut);
  MonoTime silent = Start + Millis(8000);
  CHECK_TRUE(awayUntil(serves, CallFailure::WatchCut, sent, silent) == silent);
  StoreContact back =
      contactAfterOutage(Millis(1000), Millis(5500), Millis(6400));
  CHECK_TRUE(awayUntil(back, CallFailure::WatchCut, sent, cut) ==
             Start + Millis(5600));
}

// Guards against taking a start of the process for the end of an outage.
TEST(StoreContact, FirstAnswerEndsAnOutage) {
  StoreContact contact;
  recordServed(contact, Start);
  CHECK_FALSE(contact.BackAt.has_value());
}
