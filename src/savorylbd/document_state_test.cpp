#include "daemon.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

std::string keysDocument(int revision, const std::string &label) {
  KeyRing ring;
  ring.Rev = Revision(revision);
  ring.Entries.push_back({std::string(64, 'a'), TeamId("team"), label, false});
  return formatKeyRing(ring);
}

/// A store that remembers what was written to it.
struct MockStore {
  std::string Written;
  std::uint64_t ExpectedIndex = 0;

  StoreClient client() {
    StoreClient out;
    out.CompareAndSwap = [this](const std::string &, const std::string &value,
                                std::uint64_t index) -> Result<void> {
      Written = value;
      ExpectedIndex = index;
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    };
    return out;
  }
};

} // namespace

TEST_GROUP(DocumentState) {
  Daemon Own;
  MockStore Store;

  void setup() override {
    Own.Conf.Vm = VmId("a-1");
    Own.Conf.Zone = ZoneId("a");
    Own.Store = Store.client();
  }

  void offer(const std::string &content, std::uint64_t index,
             DocumentSource source) {
    offerDocument(Own, KeysKey, content, index, source);
  }

  std::int64_t revision() { return currentSnapshot(Own)->Keys.Rev.Value; }
};

// Guards against a stale read that brings withdrawn keys back.
TEST(DocumentState, NeverGoesBackToALowerRevision) {
  offer(keysDocument(5, "new"), 50, DocumentSource::Store);
  offer(keysDocument(4, "old"), 0, DocumentSource::Peer);
  LONGS_EQUAL(5, revision());
  offer(keysDocument(4, "old"), 60, DocumentSource::Store);
  LONGS_EQUAL(5, revision());
}

// Guards against a restored store that stays behind what was accepted.
TEST(DocumentState, WritesANewerCopyBackToAnOlderStore) {
  offer(keysDocument(5, "new"), 50, DocumentSource::Store);
  offer(keysDocument(4, "old"), 60, DocumentSource::Store);
  STRCMP_EQUAL(keysDocument(5, "new").c_str(), Store.Written.c_str());
  LONGS_EQUAL(60, Store.ExpectedIndex);
}

// Guards against losing the last good document to one that cannot be read.
TEST(DocumentState, KeepsTheLastGoodDocument) {
  offer(keysDocument(5, "new"), 50, DocumentSource::Store);
  offer("{\"revision\": 6, \"keys\": 7}", 70, DocumentSource::Store);
  LONGS_EQUAL(5, revision());
  LONGS_EQUAL(5, heldDocument(Own, KeysKey).Rev.Value);
}

// Guards against waiting for the store while peers know better.
TEST(DocumentState, LearnsFromPeers) {
  offer(keysDocument(3, "peer"), 0, DocumentSource::Peer);
  LONGS_EQUAL(3, revision());
}

// Guards against records of the operators' tool that pile up in all daemons:
// the tool removes old ones, and daemons never drop a document.
TEST(DocumentState, TakesOnlyDocumentsOfItsOwn) {
  offerDocument(Own, "savory/v1/history/config/7", "{\"revision\":7}", 50,
                DocumentSource::Store);
  CHECK(heldRevisions(Own).empty());
}
