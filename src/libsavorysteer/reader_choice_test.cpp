#include "reader_choice.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr MonoTime Start{Seconds(100)};
/// Time until a silent reader is given up.
constexpr Duration Silence = Millis(1000);

} // namespace

TEST_GROUP(ReaderChoice){};

// Guards against a VM that hears nothing for as long as a cut lasts, because
// the first readers of its order are all behind the cut.
TEST(ReaderChoice, StoreIsAskedAfterTwoSilentReaders) {
  ReaderChoice choice;
  std::vector<std::string> readers = {"a", "b", "c", "d"};
  MonoTime now = Start;
  MonoTime heardAt = Start;
  Duration longest{0};
  // All readers are silent; the store answers within 5 ms, with a pause of
  // 600 ms between two watches.
  while (now < Start + Seconds(30)) {
    std::string reader = chooseReader(choice, readers, false, now);
    if (reader.empty()) {
      now += Millis(5);
      longest = std::max(longest, now - heardAt);
      heardAt = now;
      now += Millis(600);
    } else {
      now += Silence;
      noteReaderFailed(choice, reader, now);
    }
  }
  longest = std::max(longest, now - heardAt);
  // A target that leaves must be left within 2.5 s.
  CHECK_TRUE(longest <= Duration(Millis(2500)));
}

// Guards against a VM that is cut off from the store and asks no other VM.
TEST(ReaderChoice, OtherReadersAreAskedWhenTheStoreFails) {
  ReaderChoice choice;
  noteReaderFailed(choice, "a", Start);
  noteReaderFailed(choice, "b", Start);
  std::vector<std::string> readers = {"a", "b", "c"};
  STRCMP_EQUAL("", chooseReader(choice, readers, false, Start).c_str());
  STRCMP_EQUAL("c", chooseReader(choice, readers, true, Start).c_str());
}

// Guards against all VMs of a region that watch the store because one reader
// was replaced.
TEST(ReaderChoice, NextReaderIsFollowedAfterOneFailure) {
  ReaderChoice choice;
  std::vector<std::string> readers = {"a", "b", "c"};
  noteReaderFailed(choice, "a", Start);
  STRCMP_EQUAL("b", chooseReader(choice, readers, false, Start).c_str());
  noteReaderAnswered(choice);
  MonoTime later = Start + Seconds(5);
  noteReaderFailed(choice, "b", later);
  STRCMP_EQUAL("c", chooseReader(choice, readers, false, later).c_str());
}

// Guards against calls to the store that stay with every VM after a cut.
TEST(ReaderChoice, FollowsAgainAfterATime) {
  ReaderChoice choice;
  std::vector<std::string> readers = {"a", "b"};
  noteReaderFailed(choice, "a", Start);
  noteReaderFailed(choice, "c", Start);
  STRCMP_EQUAL(
      "b", chooseReader(choice, readers, false, Start + Seconds(3)).c_str());
  STRCMP_EQUAL(
      "a", chooseReader(choice, readers, false, Start + Seconds(11)).c_str());
}
