#include "savorylb/document_cache.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(DocumentCache){};

// Guards against adopting an older document: an accepted configuration never
// reverts.
TEST(DocumentCache, OlderDocumentsAreNeverAdopted) {
  CachedDocument own{Revision(5), "x", 9};
  for (std::int64_t rev = 0; rev < 12; ++rev)
    for (bool fromStore : {false, true}) {
      Adoption adoption = decideAdoption(&own, Revision(rev), "y", fromStore);
      if (rev > 5)
        CHECK(adoption == Adoption::Adopt);
      else if (rev == 5)
        CHECK(adoption == Adoption::Diverged);
      else
        CHECK(adoption == (fromStore ? Adoption::Repair : Adoption::Ignore));
    }
  CHECK(decideAdoption(&own, Revision(5), "x", true) == Adoption::Same);
  CHECK(decideAdoption(nullptr, Revision(1), "x", false) == Adoption::Adopt);
  CHECK(decideAdoption(nullptr, Revision(0), "x", true) == Adoption::Ignore);
}

// Guards against reading a revision from malformed text.
TEST(DocumentCache, RevisionOfBadTextIsZero) {
  LONGS_EQUAL(12, revisionOf("{\"revision\": 12}").Value);
  for (const char *text : {"", "[1]", "{", "{}", R"({"revision":"3"})",
                           R"({"revision":-3})", R"({"revision":1.5})"})
    LONGS_EQUAL(0, revisionOf(text).Value);
}
