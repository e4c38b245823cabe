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

/// Records the last write.
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
  Daemon Instance;
  MockStore Store;

  void setup() override {
    Instance.Conf.Vm = VmId("a-1");
    Instance.Conf.Zone = ZoneId("a");
    Instance.Store = Store.client();
  }

  void receive(const std::string &content, std::uint64_t index,
               DocumentSource source) {
    receiveDocument(Instance, KeysKey, content, index, source);
  }

  std::int64_t revision() { return currentSnapshot(Instance)->Keys.Rev.Value; }
};

// Guards against a stale read that makes revoked keys valid again.
TEST(DocumentState, NeverAdoptsALowerRevision) {
  receive(keysDocument(5, "new"), 50, DocumentSource::Store);
  receive(keysDocument(4, "old"), 0, DocumentSource::Peer);
  LONGS_EQUAL(5, revision());
  receive(keysDocument(4, "old"), 60, DocumentSource::Store);
  LONGS_EQUAL(5, revision());
}

// Guards against a store that was restored to an older state and keeps it.
TEST(DocumentState, WritesANewerCopyBackToAnOlderStore) {
  receive(keysDocument(5, "new"), 50, DocumentSource::Store);
  receive(keysDocument(4, "old"), 60, DocumentSource::Store);
  STRCMP_EQUAL(keysDocument(5, "new").c_str(), Store.Written.c_str());
  LONGS_EQUAL(60, Store.ExpectedIndex);
}

// Guards against an unreadable document that replaces the last valid one.
TEST(DocumentState, KeepsTheLastValidDocument) {
  receive(keysDocument(5, "new"), 50, DocumentSource::Store);
  receive("{\"revision\": 6, \"keys\": 7}", 70, DocumentSource::Store);
  LONGS_EQUAL(5, revision());
  LONGS_EQUAL(5, heldDocument(Instance, KeysKey).Rev.Value);
}

// Guards against waiting for the store while a peer has a newer document.
TEST(DocumentState, AdoptsDocumentsFromPeers) {
  receive(keysDocument(3, "peer"), 0, DocumentSource::Peer);
  LONGS_EQUAL(3, revision());
}

// Guards against records of the operators' tool that accumulate in all daemons:
// the tool removes old ones, but daemons never remove a document.
TEST(DocumentState, IgnoresDocumentsOfOtherPrograms) {
  receiveDocument(Instance, "savory/v1/history/config/7", "{\"revision\":7}",
                  50, DocumentSource::Store);
  CHECK(heldRevisions(Instance).empty());
}
