#include "store_mirror.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;
using platform::StoreItem;
using platform::StorePage;

namespace {

StorePosition at(std::int64_t revision, std::int64_t era = 0) {
  return {StoreEra(era), Revision(revision)};
}

StoreItem item(const std::string &key, std::int64_t revision,
               bool removed = false, std::int64_t era = 0) {
  StoreItem it;
  it.Key = key;
  it.Value = "v" + std::to_string(revision);
  it.ModRevision = at(revision, era);
  it.Removed = removed;
  return it;
}

StorePage page(std::int64_t read, std::vector<StoreItem> items,
               std::int64_t era = 0) {
  StorePage it;
  it.StoreRevision = at(read, era);
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
  auto read = readMirrorUpdate(writeMirrorUpdate(updateSince(mirror, at(0))));
  CHECK_TRUE(read.has_value());
  StoreMirror other;
  applyChanges(other, read.value().Page);
  LONGS_EQUAL(5, other.KnownRevision.Number.Value);
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
  mirror.RemovalsSince = at(7);
  CHECK_TRUE(updateSince(mirror, at(6)).Snapshot);
}

// Guards against a follower that waits although there are changes, or is
// answered without any.
TEST(StoreMirror, FollowerWaitsForKnownChanges) {
  StoreMirror mirror;
  applySnapshot(mirror, page(5, {item("a", 4), item("b", 5)}));
  CHECK_TRUE(hasChangesSince(mirror, at(4)));
  CHECK_FALSE(hasChangesSince(mirror, at(5)));
  applyChanges(mirror, page(9, {item("a", 7, true)}));
  CHECK_TRUE(hasChangesSince(mirror, at(6)));
  CHECK_FALSE(hasChangesSince(mirror, at(7)));
  CHECK_FALSE(hasChangesSince(mirror, at(9)));
  CHECK_TRUE(hasChangesSince(mirror, at(9, 1)));
  applySnapshot(mirror, page(3, {item("b", 2, false, 1)}, 1));
  CHECK_TRUE(hasChangesSince(mirror, at(9)));
  CHECK_FALSE(hasChangesSince(mirror, at(3, 1)));
}

// Guards against sending one follower the changes that another one needs.
TEST(StoreMirror, UpdatesOfOneFirstChangeDiffer) {
  StoreMirror mirror;
  applySnapshot(mirror, page(5, {item("a", 4), item("b", 5)}));
  applyChanges(mirror, page(7, {item("a", 7, true)}));
  applyChanges(mirror, page(12, {item("b", 9), item("c", 12)}));
  CHECK_TRUE(firstChangeSince(mirror, at(4)) == StorePosition());
  CHECK_FALSE(firstChangeSince(mirror, at(12)).has_value());
  for (int a = 5; a < 12; ++a)
    for (int b = a; b < 12; ++b) {
      bool same =
          firstChangeSince(mirror, at(a)) == firstChangeSince(mirror, at(b));
      CHECK_EQUAL(same, writeMirrorUpdate(updateSince(mirror, at(a))) ==
                            writeMirrorUpdate(updateSince(mirror, at(b))));
    }
}

// Guards against comparing revisions of two eras by their numbers.
TEST(StoreMirror, PositionsAreOrderedByEraFirst) {
  CHECK_TRUE(at(9, 1) < at(3, 2));
  CHECK_TRUE(at(3, 2) > at(9, 1));
  CHECK_TRUE(at(3, 2) < at(4, 2));
  CHECK_TRUE(at(3, 2) <= at(3, 2));
  CHECK_FALSE(at(3, 2) == at(3, 1));
}

// Guards against ignoring the documents of a new era because their revisions
// are lower than those known from the era before.
TEST(StoreMirror, ListOfNewEraReplacesTheMirror) {
  StoreMirror mirror;
  applySnapshot(mirror, page(90, {item("a", 80), item("b", 90)}));
  auto changes = applySnapshot(mirror, page(40, {item("a", 35, false, 1)}, 1));
  LONGS_EQUAL(2, changes.size());
  CHECK_TRUE(changes[0].FromCopy);
  CHECK_TRUE(changes[1].FromCopy && changes[1].Removed);
  STRCMP_EQUAL("v35", mirror.Items["a"].Value.c_str());
  CHECK_TRUE(mirror.KnownRevision == at(40, 1));
  changes = applyChanges(mirror, page(41, {item("a", 41, true, 1)}, 1));
  LONGS_EQUAL(1, changes.size());
  CHECK_FALSE(changes[0].FromCopy);
}

// Guards against a late answer, or a watcher, that returns a mirror to an older
// era.
TEST(StoreMirror, OlderEraIsIgnored) {
  StoreMirror mirror;
  applySnapshot(mirror, page(40, {item("a", 35, false, 1)}, 1));
  LONGS_EQUAL(0, applyChanges(mirror, page(90, {item("c", 90)})).size());
  LONGS_EQUAL(0, applySnapshot(mirror, page(90, {item("c", 90)})).size());
  CHECK_TRUE(mirror.KnownRevision == at(40, 1));
  LONGS_EQUAL(1, mirror.Items.size());
}

// Guards against applying the changes of a new era to documents of the old one.
TEST(StoreMirror, ChangesOfNewEraNeedAList) {
  StoreMirror mirror;
  applySnapshot(mirror, page(40, {item("a", 35)}));
  LONGS_EQUAL(
      0, applyChanges(mirror, page(50, {item("b", 50, false, 1)}, 1)).size());
  CHECK_TRUE(mirror.KnownRevision == at(40));
}

// Guards against a follower that keeps documents which the new era lacks.
TEST(StoreMirror, FollowerOfAnotherEraReceivesASnapshot) {
  StoreMirror mirror;
  applySnapshot(mirror, page(40, {item("a", 35, false, 1)}, 1));
  CHECK_TRUE(updateSince(mirror, at(90)).Snapshot);
  CHECK_FALSE(updateSince(mirror, at(40, 1)).Snapshot);
  StoreMirror follower;
  applySnapshot(follower, page(90, {item("b", 90)}));
  auto update = readMirrorUpdate(
      writeMirrorUpdate(updateSince(mirror, follower.KnownRevision)));
  CHECK_TRUE(update.value().Snapshot);
  applySnapshot(follower, update.value().Page);
  CHECK_TRUE(follower.KnownRevision == at(40, 1));
  LONGS_EQUAL(0, follower.Items.count("b"));
  LONGS_EQUAL(1, follower.Items.count("a"));
}

// Guards against a follower that misses a key which was written and removed
// again before the watcher's first list.
TEST(StoreMirror, FollowerBehindTheFirstListReceivesASnapshot) {
  StoreMirror mirror;
  applySnapshot(mirror, page(40, {item("a", 35)}));
  CHECK_TRUE(updateSince(mirror, at(39)).Snapshot);
  CHECK_FALSE(updateSince(mirror, at(40)).Snapshot);
}

// Guards against misreading requests of VMs of an earlier build, which send no
// era, and against requests that those cannot read.
TEST(StoreMirror, PositionsRoundTrip) {
  STRCMP_EQUAL("41@3", writePosition(at(41, 3)).c_str());
  CHECK_TRUE(readPosition("41@3", StoreEra(9)) == at(41, 3));
  CHECK_TRUE(readPosition("41", StoreEra(9)) == at(41, 9));
  auto update = readMirrorUpdate(R"({"known":7,"items":[]})");
  CHECK_TRUE(update.value().Page.StoreRevision == at(7));
}

// Guards against a follower that takes an outdated mirror for a recent one,
// because the age is lost on the way or is not one.
TEST(StoreMirror, AgeOfTheMirrorIsLost) {
  MirrorUpdate sent;
  sent.Page.StoreRevision = {StoreEra(1), Revision(7)};
  sent.Age = Millis(1300);
  auto received = readMirrorUpdate(writeMirrorUpdate(sent));
  CHECK_TRUE(received.value().Age == Millis(1300));
  auto invalid = readMirrorUpdate(R"({"known": 7, "age_us": -5000000})");
  CHECK_TRUE(invalid.value().Age == Duration(0));
}
