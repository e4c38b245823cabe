#include "savorylb/key_ring.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

std::string digestOf(char first, char last) {
  return first + std::string(62, '0') + last;
}

KeyRing makeRing() {
  KeyRing ring;
  ring.Rev = Revision(7);
  // The first two have the same prefix in the index.
  ring.Entries = {{digestOf('a', '1'), TeamId("fish"), "k1", false},
                  {digestOf('a', '2'), TeamId("port"), "k2", true},
                  {digestOf('b', '3'), TeamId("port"), "k3", false}};
  return parseKeyRing(formatKeyRing(ring)).value();
}

} // namespace

TEST_GROUP(KeyRing){};

// Guards against accepting a revoked key, a similar key or a prefix. A revoked
// key must stop working within seconds.
TEST(KeyRing, OnlyUnrevokedKeysMatch) {
  KeyRing ring = makeRing();
  LONGS_EQUAL(7, ring.Rev.Value);
  CHECK(teamOfKey(ring, digestOf('a', '1')) == TeamId("fish"));
  CHECK(teamOfKey(ring, digestOf('b', '3')) == TeamId("port"));
  CHECK_FALSE(teamOfKey(ring, digestOf('a', '2')).has_value());
  CHECK_FALSE(teamOfKey(ring, digestOf('a', '4')).has_value());
  CHECK_FALSE(teamOfKey(ring, digestOf('a', '1').substr(0, 16)).has_value());
  CHECK_FALSE(teamOfKey(ring, "").has_value());
}

// Guards against a revocation that is undone by another entry of the same key.
TEST(KeyRing, RevocationWinsOverADuplicate) {
  KeyRing ring = makeRing();
  ring.Entries.push_back({digestOf('a', '1'), TeamId("fish"), "again", true});
  ring.ByPrefix.emplace(digestOf('a', '1').substr(0, 16), 3);
  CHECK_FALSE(teamOfKey(ring, digestOf('a', '1')).has_value());
}

// Guards against adopting an incomplete or malformed document.
TEST(KeyRing, MalformedDocumentsAreRejected) {
  std::string good = digestOf('a', '1');
  for (std::string text :
       {"", "[]", R"({"revision":1})", R"({"revision":0,"keys":[]})",
        R"({"revision":"1","keys":[]})", R"({"revision":1,"keys":[]} x)",
        R"({"revision":1,"keys":[{"digest":"AB","team":"t","label":"l"}]})",
        R"({"revision":1,"keys":[{"digest":"@","team":"","label":"l"}]})",
        R"({"revision":1,"keys":[{"digest":"@","team":"t","label":"l",
            "revoked":"yes"}]})",
        R"({"revision":1,"keys":[{"digest":"@","team":"t","label":"l"},
                                 {"digest":"@","team":"t","label":"m"}]})"}) {
    for (auto at = text.find('@'); at != std::string::npos; at = text.find('@'))
      text.replace(at, 1, good);
    auto result = parseKeyRing(text);
    CHECK(result.has_error());
    CHECK(result.error().Code == ErrorCode::Malformed);
    CHECK(result.error().Message.size() > 6);
  }
}

// Guards against a partitioned zone that accepts keys revoked elsewhere, and
// against refusing requests while the store is down for all zones.
TEST(KeyRing, StaleKeysAreRefusedOnlyWhenCutOff) {
  Duration limit = Seconds(30);
  CHECK(keysUsable({Seconds(30), false, false}, limit));
  CHECK_FALSE(keysUsable({Seconds(31), false, false}, limit));
  CHECK_FALSE(keysUsable({Seconds(31), true, true}, limit));
  CHECK(keysUsable({Seconds(31), true, false}, limit));
  CHECK(keysUsable({Seconds(9999), false, true}, Duration(0)));
}
