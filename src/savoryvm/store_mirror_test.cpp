#include "store_mirror.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;
using platform::StoreItem;
using platform::StorePage;

namespace {

StoreItem item(const std::string &key, std::int64_t revision,
               bool removed = false) {
  StoreItem it;
  it.Key = key;
  it.Value = "v" + std::to_string(revision);
  it.ModRevision = Revision(revision);
  it.Removed = removed;
  return it;
}

StorePage page(std::int64_t read, std::vector<StoreItem> items) {
  StorePage it;
  it.StoreRevision = Revision(read);
  it.Items = std::move(items);
  return it;
}

} // namespace

TEST_GROUP(StoreMirror){};

// Guards against replacing a document by an older revision.
TEST(StoreMirror, IgnoresOlderChanges) {
  StoreMirror mirror;
  LONGS_EQUAL(1, applyChanges(mirror, page(5, {item("a", 5)})).size());
  LONGS_EQUAL(0, applyChanges(mirror, page(5, {item("a", 4)})).size());
  LONGS_EQUAL(0, applyChanges(mirror, page(5, {item("a", 5)})).size());
  STRCMP_EQUAL("v5", mirror.Items["a"].Value.c_str());
}

// Guards against keeping removed documents when the store no longer has the
// history with their removal and the mirror is filled from a list.
TEST(StoreMirror, SnapshotRemovesMissingDocuments) {
  StoreMirror mirror;
  applyChanges(mirror, page(5, {item("a", 4), item("b", 5)}));
  auto changes = applySnapshot(mirror, page(9, {item("b", 8)}));
  LONGS_EQUAL(2, changes.size());
  LONGS_EQUAL(1, mirror.Items.size());
  // A list read before a change does not undo it.
  applyChanges(mirror, page(12, {item("c", 12)}));
  LONGS_EQUAL(0, applySnapshot(mirror, page(10, {item("b", 8)})).size());
  LONGS_EQUAL(2, mirror.Items.size());
}

// Guards against documents that are lost or changed between VMs.
TEST(StoreMirror, UpdateRoundTrips) {
  StoreMirror mirror;
  applyChanges(mirror, page(5, {item("a", 4), item("b", 5)}));
  auto read =
      readMirrorUpdate(writeMirrorUpdate(updateSince(mirror, Revision(0))));
  CHECK_TRUE(read.has_value());
  StoreMirror other;
  applyChanges(other, read.value().Page);
  LONGS_EQUAL(5, other.KnownRevision.Value);
  STRCMP_EQUAL("v4", other.Items["a"].Value.c_str());
  CHECK_FALSE(readMirrorUpdate("busy").has_value());
}

// Guards against a follower that misses a removal, including one so old that
// the other VM has discarded it and must send a snapshot.
TEST(StoreMirror, FollowerReceivesRemovals) {
  StoreMirror mirror;
  applySnapshot(mirror, page(5, {item("a", 4), item("b", 5)}));
  StoreMirror other = mirror;
  applyChanges(mirror, page(7, {item("a", 7, true), item("c", 6)}));
  MirrorUpdate update = updateSince(mirror, other.KnownRevision);
  CHECK_FALSE(update.Snapshot);
  applyChanges(other, update.Page);
  LONGS_EQUAL(2, other.Items.size());
  LONGS_EQUAL(0, other.Items.count("a"));
  mirror.RemovalsSince = Revision(7);
  CHECK_TRUE(updateSince(mirror, Revision(6)).Snapshot);
}
