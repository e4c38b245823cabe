#ifndef SAVORYLB_READER_CHOICE_H
#define SAVORYLB_READER_CHOICE_H

#include "savorylb/units.h"

#include <map>
#include <string>
#include <vector>

namespace savorylb {

/// What a VM knows of the VMs that it may follow instead of watching the store.
struct ReaderChoice {
  /// VMs that failed to answer or have no news themselves, and until when they
  /// are not followed.
  std::map<std::string, MonoTime> NotFollowed;
  /// Readers that failed one after the other.
  int Failures = 0;
  /// The store is watched until then.
  MonoTime OwnWatchUntil{};
};

/// Notes that a followed VM did not answer or does not reach the store.
void noteReaderFailed(ReaderChoice &choice, const std::string &address,
                      MonoTime now);

/// Notes that a followed VM answered.
void noteReaderAnswered(ReaderChoice &choice);

/// Chooses whom to follow. After two failed readers the store is watched for a
/// time, because the next readers may be behind the same cut; only a VM that
/// does not reach the store goes on to the next one at once.
/// \param choice what is known of the readers.
/// \param readers addresses in the order in which they may be followed.
/// \param storeFails whether this VM's last watch of the store failed.
/// \param now the current time.
/// \returns the reader's address, or empty for the store.
std::string chooseReader(const ReaderChoice &choice,
                         const std::vector<std::string> &readers,
                         bool storeFails, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_READER_CHOICE_H
