#include "reader_choice.h"

namespace savorylb {
namespace {

/// A cut lasts some seconds; asking a silent VM costs more than a second in
/// which news is late.
constexpr Duration NotFollowedFor = Seconds(10);
/// One reader may have ended; two that fail are likely to be cut off.
constexpr int MaxFailures = 2;
/// How long the store is watched then; longer than a watch and
/// its pause, so that at least one answer comes before the next reader is
/// tried.
constexpr Duration OwnWatchFor = Seconds(2);

} // namespace

void noteReaderFailed(ReaderChoice &choice, const std::string &address,
                      MonoTime now) {
  choice.NotFollowed[address] = now + NotFollowedFor;
  if (++choice.Failures >= MaxFailures)
    choice.OwnWatchUntil = now + OwnWatchFor;
}

void noteReaderAnswered(ReaderChoice &choice) { choice.Failures = 0; }

std::string chooseReader(const ReaderChoice &choice,
                         const std::vector<std::string> &readers,
                         bool storeFails, MonoTime now) {
  if (now < choice.OwnWatchUntil && !storeFails)
    return "";
  for (const std::string &it : readers) {
    auto failed = choice.NotFollowed.find(it);
    if (failed == choice.NotFollowed.end() || now >= failed->second)
      return it;
  }
  return "";
}

} // namespace savorylb
