#include "savorylb/once_ledger.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>
#include <set>

using namespace savorylb;

namespace {
const Duration Retention = Seconds(900);
const TeamId Team("team");
MonoTime at(std::int64_t ms) { return MonoTime(Millis(ms)); }

BeginResult begin(OncePartition &p, const std::string &id, std::int64_t ms) {
  return beginOnce(p, RequestId(id), "d", Team, at(ms + 1000), at(ms));
}
void checkVerdict(OnceVerdict want, const BeginResult &got) {
  CHECK_EQUAL(static_cast<int>(want), static_cast<int>(got.Verdict));
}
} // namespace

TEST_GROUP(OnceLedger) { OncePartition Home; };

// Guards against a repeat that runs again or gets the response of another
// request.
TEST(OnceLedger, RepeatsGetTheOutcomeAndOthersAConflict) {
  RequestId id("k");
  auto first = begin(Home, "k", 0);
  checkVerdict(OnceVerdict::Go, first);
  checkVerdict(OnceVerdict::InProgress, begin(Home, "k", 1));
  checkVerdict(OnceVerdict::Conflict,
               beginOnce(Home, id, "other", Team, at(9), at(1)));
  checkVerdict(OnceVerdict::Conflict,
               beginOnce(Home, id, "d", TeamId("x"), at(9), at(1)));
  StoredAnswer answer;
  answer.Status = 201;
  answer.Body.assign(MaxStoredBody + 1, 'x');
  CHECK_FALSE(finishOnce(Home, id, first.Number + 1, OnceState::Done, answer));
  CHECK(finishOnce(Home, id, first.Number, OnceState::Done, answer));
  CHECK_FALSE(finishOnce(Home, id, first.Number, OnceState::Unknown, {}));
  CHECK_FALSE(cancelOnce(Home, id, first.Number));
  LONGS_EQUAL(201, begin(Home, "k", 5000).Answer.Status);
  CHECK_FALSE(begin(Home, "k", 5000).Answer.BodyKept);
  LONGS_EQUAL(0, expireOnce(Home, Retention, at(899'999)));
  checkVerdict(OnceVerdict::Done, begin(Home, "k", 899'999));
  expireOnce(Home, Retention, at(900'000));
  LONGS_EQUAL(0, Home.Entries.size());
}

// Guards against a request past its deadline that runs again or becomes done
// later.
TEST(OnceLedger, OverdueIsUnknownForGood) {
  auto first = begin(Home, "k", 0);
  checkVerdict(OnceVerdict::Unknown, begin(Home, "k", 1000));
  CHECK_FALSE(
      finishOnce(Home, RequestId("k"), first.Number, OnceState::Done, {}));
  checkVerdict(OnceVerdict::Unknown, begin(Home, "k", 2000));
  checkVerdict(OnceVerdict::Refused,
               beginOnce(Home, RequestId("l"), "d", Team, at(5), at(5)));
  LONGS_EQUAL(1, Home.Entries.size());
}

// Guards against replicated entries that return to an earlier state.
TEST(OnceLedger, MergeNeverGoesBack) {
  OnceEntry entry;
  entry.Identity = RequestId("k");
  entry.Number = 7;
  entry.State = OnceState::Done;
  mergeOnce(Home, entry);
  entry.State = OnceState::InProgress;
  mergeOnce(Home, entry);
  entry.Number = 9;
  entry.State = OnceState::Unknown;
  mergeOnce(Home, entry);
  CHECK(Home.Entries[RequestId("k")].State == OnceState::Done);
  LONGS_EQUAL(10, Home.NextNumber);
  promoteReplica(Home, true, Retention, at(0));
  checkVerdict(OnceVerdict::Go, begin(Home, "new", 1));
  promoteReplica(Home, false, Retention, at(0));
  checkVerdict(OnceVerdict::Unknown, begin(Home, "newer", 899'999));
  checkVerdict(OnceVerdict::Go, begin(Home, "newest", 900'000));
}

// Guards against VMs that determine different homes for the same identity.
TEST(OnceLedger, HomeIsTheSameOnAllVms) {
  std::vector<ZoneId> zones{ZoneId("z1"), ZoneId("z2"), ZoneId("z3")};
  std::vector<ZoneId> home{ZoneId("z2"), ZoneId("z3")};
  std::vector<ZoneId> reversed{ZoneId("z3"), ZoneId("z2")};
  CHECK(ZoneId("z1") == locateHome(RequestId("z1:k"), zones, home).Zone);
  std::set<std::string> seen;
  for (int n = 0; n < 100; ++n) {
    RequestId id("nozone:" + std::to_string(n));
    auto it = locateHome(id, zones, home);
    auto again = locateHome(id, zones, reversed);
    CHECK(it.Zone == again.Zone && it.Partition == again.Partition);
    CHECK(std::count(home.begin(), home.end(), it.Zone) == 1);
    seen.insert(it.Zone.Value + std::to_string(it.Partition));
  }
  CHECK(seen.size() > 25);
}

// Guards against a second Go verdict for an identity when the home VM crashes
// with or without a complete replica, when acknowledgements get lost, or when a
// partition is handed off.
TEST(OnceLedger, NoIdentityRunsTwiceThroughCrashes) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    auto chance = [&](unsigned percent) { return random() % 100 < percent; };
    OncePartition home;
    OncePartition replica;
    bool complete = true;
    // Stands for QuarantinedAt of the zone document, which survives the home
    // VM.
    bool quarantined = false;
    std::map<std::string, std::uint64_t> executed;
    std::string text = "seed " + std::to_string(seed);
    for (std::int64_t ms = 0; ms < 899'000; ms += 200) {
      std::string id = std::to_string(random() % 400);
      RequestId key(id);
      auto it = begin(home, id, ms);
      if (it.Verdict == OnceVerdict::Go) {
        bool arrives = complete && !chance(5);
        if (arrives)
          mergeOnce(replica, home.Entries[key]);
        if (!arrives || chance(5)) {
          // Without an acknowledgement the request is refused as not run.
          CHECK(cancelOnce(home, key, it.Number));
        } else {
          CHECK_TEXT(executed.emplace(id, it.Number).second, text.c_str());
        }
      }
      std::string other = std::to_string(random() % 400);
      auto run = executed.find(other);
      if (run != executed.end()) {
        auto state = chance(50) ? OnceState::Done : OnceState::Unknown;
        RequestId ended(other);
        if (finishOnce(home, ended, run->second, state, {}) && chance(80))
          mergeOnce(replica, home.Entries[ended]);
      }
      if (random() % 1000 == 0) {
        // The home VM crashes; a new successor starts with an empty replica.
        home = std::move(replica);
        quarantined = quarantined || !complete;
        promoteReplica(home, !quarantined, Retention, at(ms));
        replica = OncePartition();
        complete = false;
      } else if (!complete && chance(10)) {
        for (auto &entry : home.Entries)
          mergeOnce(replica, entry.second);
        complete = true;
      }
      if (chance(5))
        expireOnce(home, Retention, at(ms));
    }
    CHECK_TEXT(executed.size() > 20, text.c_str());
  }
}

// Guards against a zone that refuses every new booking for the whole retention
// time after a takeover without a replica, and against running an identity that
// is older than the quarantine.
TEST(OnceLedger, QuarantineLetsLaterIdentitiesRun) {
  OncePartition partition;
  MonoTime now(Seconds(10));
  partition.QuarantinedUntil = now + Seconds(900);
  partition.QuarantineRevision = 40;
  auto verdict = [&](const char *identity) {
    return beginOnce(partition, RequestId(identity), "d", TeamId("t"),
                     now + Seconds(5), now, 57)
        .Verdict;
  };
  CHECK(verdict("tema-a@40:new") == OnceVerdict::Go);
  CHECK(verdict("tema-a@57:new") == OnceVerdict::Go);
  CHECK(verdict("tema-a@39:old") == OnceVerdict::Unknown);
  CHECK(verdict("tema-a@58:forged") == OnceVerdict::Unknown);
  CHECK(verdict("tema-a:plain") == OnceVerdict::Unknown);
  CHECK(verdict("plain") == OnceVerdict::Unknown);
}

// Guards against a repeat that is sent to another home because its prefix
// contains a revision.
TEST(OnceLedger, PrefixWithRevisionNamesItsZone) {
  std::vector<ZoneId> zones{ZoneId("tema-a"), ZoneId("tema-b")};
  OnceHome home =
      locateHome(RequestId("tema-b@12:x"), zones, {ZoneId("tema-a")});
  CHECK(home.Zone == ZoneId("tema-b"));
}
