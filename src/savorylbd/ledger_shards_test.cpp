#include "daemon.h"
#include "savorylb/clock.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <string>
#include <thread>

using namespace savorylb;

TEST_GROUP(LedgerShards) {
  Daemon Own;
  ZoneDocument Doc;

  void setup() override {
    Own.Conf.Vm = VmId("a-1");
    Own.Conf.Zone = ZoneId("a");
    Own.SelfIncarnation = Incarnation("life-1");
    Own.StartedAt = monoNow();
    Doc = makeZoneDocument(ZoneId("a"), Ppm(500'000));
    Doc.Rev = Revision(3);
    ZoneMember self;
    self.VmIncarnation = Own.SelfIncarnation;
    self.RateShare = Ppm(500'000);
    Doc.Members[Own.Conf.Vm] = self;
    Doc.Partitions.assign(PartitionCount, Own.Conf.Vm);
    Doc.QuarantinedAt.assign(PartitionCount, 0);
  }

  OnceVerdict begin(const std::string &identity) {
    OnceQuery query;
    query.Identity = RequestId(identity);
    query.Partition = 2;
    query.Digest = "d";
    query.Team = TeamId("t");
    query.Remaining = Seconds(5);
    return beginAtHome(Own, query).Verdict;
  }
};

TEST(LedgerShards, LetsEachIdentityRunOnce) {
  applyZoneDocument(Own, Doc, 1);
  CHECK(begin("x") == OnceVerdict::Go);
  CHECK(begin("x") == OnceVerdict::InProgress);
}

// Guards against two homes of a partition: only the owner in the owner map may
// let a request run.
TEST(LedgerShards, RefusesWhatItDoesNotOwn) {
  Doc.Partitions[2] = VmId("a-2");
  applyZoneDocument(Own, Doc, 1);
  CHECK(begin("x") == OnceVerdict::NotHome);
}

// Guards against a home without a lease, whose successor may have taken over
// already.
TEST(LedgerShards, RefusesWithoutALease) {
  Doc.Members[Own.Conf.Vm].Successor = VmId("a-2");
  Doc.Members[Own.Conf.Vm].SuccessorIncarnation = Incarnation("life-2");
  applyZoneDocument(Own, Doc, 1);
  CHECK(begin("x") == OnceVerdict::NotHome);
}

// Guards against running a request without a replica of its entry: a live
// successor that takes over would let it run again.
TEST(LedgerShards, RefusesWhenTheSuccessorHasNoCopy) {
  ZoneMember other;
  other.VmIncarnation = Incarnation("life-2");
  other.PeerEndpoint = "127.0.0.1:1";
  Doc.Members[VmId("a-2")] = other;
  Doc.Members[Own.Conf.Vm].Successor = VmId("a-2");
  Doc.Members[Own.Conf.Vm].SuccessorIncarnation = Incarnation("life-2");
  applyZoneDocument(Own, Doc, 1);
  renewLease(Own.Membership.OwnLease, monoNow(), Own.Membership.Times);
  CHECK(begin("x") == OnceVerdict::Refused);
}

// Guards against running an identity that may have run at an earlier home.
TEST(LedgerShards, QuarantinedPartitionSaysUnknown) {
  Doc.QuarantinedAt[2] = 3;
  applyZoneDocument(Own, Doc, 1);
  CHECK(begin("old") == OnceVerdict::Unknown);
  CHECK(begin("a@3:new") == OnceVerdict::Go);
}

// Guards against a new home VM that lets requests run, which arrive while it
// adopts a quarantined partition, before it knows which ones ran.
TEST(LedgerShards, AnswersNothingBeforeAPartitionIsAdopted) {
  std::atomic<bool> done{false};
  std::atomic<int> ran{0};
  std::thread caller([&] {
    for (int n = 0; !done; ++n)
      if (begin("old-" + std::to_string(n)) == OnceVerdict::Go)
        ++ran;
  });
  for (int round = 0; round < 3000; ++round) {
    Doc.Rev = Revision(Doc.Rev.Value + 1);
    Doc.Partitions[2] = round % 2 == 0 ? VmId("a-2") : Own.Conf.Vm;
    Doc.QuarantinedAt[2] = 3;
    applyZoneDocument(Own, Doc, 1);
  }
  done = true;
  caller.join();
  CHECK_EQUAL(0, ran.load());
}
