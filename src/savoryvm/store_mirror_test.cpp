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
  it.Changed = Revision(revision);
  it.Removed = removed;
  return it;
}

StorePage page(std::int64_t read, std::vector<StoreItem> items) {
  StorePage it;
  it.Read = Revision(read);
  it.Items = std::move(items);
  return it;
}

} // namespace

TEST_GROUP(StoreMirror){};

// Guards against an older document that replaces a newer one.
TEST(StoreMirror, OlderChangesAreLeftOut) {
  StoreMirror mirror;
  LONGS_EQUAL(1, applyChanges(mirror, page(5, {item("a", 5)})).size());
  LONGS_EQUAL(0, applyChanges(mirror, page(5, {item("a", 4)})).size());
  LONGS_EQUAL(0, applyChanges(mirror, page(5, {item("a", 5)})).size());
  STRCMP_EQUAL("v5", mirror.Items["a"].Value.c_str());
}

// Guards against documents that stay after the history of their removal is
// gone.
TEST(StoreMirror, ListRemovesWhatItLacks) {
  StoreMirror mirror;
  applyChanges(mirror, page(5, {item("a", 4), item("b", 5)}));
  auto changes = applyList(mirror, page(9, {item("b", 8)}));
  LONGS_EQUAL(2, changes.size());
  LONGS_EQUAL(1, mirror.Items.size());
  // A list read before a change does not undo it.
  applyChanges(mirror, page(12, {item("c", 12)}));
  LONGS_EQUAL(0, applyList(mirror, page(10, {item("b", 8)})).size());
  LONGS_EQUAL(2, mirror.Items.size());
}

// Guards against documents that change on the way between VMs.
TEST(StoreMirror, NewsAreReadAsWritten) {
  StoreMirror mirror;
  applyChanges(mirror, page(5, {item("a", 4), item("b", 5)}));
  auto read = readNews(writeNews(newsAfter(mirror, Revision(0))));
  CHECK_TRUE(read.has_value());
  StoreMirror other;
  applyChanges(other, read.value().Page);
  LONGS_EQUAL(5, other.Known.Value);
  STRCMP_EQUAL("v4", other.Items["a"].Value.c_str());
  CHECK_FALSE(readNews("busy").has_value());
}

// Guards against a follower that misses a removal, also one that is too long
// ago for the other VM to know.
TEST(StoreMirror, FollowerHearsOfRemovals) {
  StoreMirror mirror;
  applyList(mirror, page(5, {item("a", 4), item("b", 5)}));
  StoreMirror other = mirror;
  applyChanges(mirror, page(7, {item("a", 7, true), item("c", 6)}));
  MirrorNews news = newsAfter(mirror, other.Known);
  CHECK_FALSE(news.Whole);
  applyChanges(other, news.Page);
  LONGS_EQUAL(2, other.Items.size());
  LONGS_EQUAL(0, other.Items.count("a"));
  mirror.RemovalsSince = Revision(7);
  CHECK_TRUE(newsAfter(mirror, Revision(6)).Whole);
}
