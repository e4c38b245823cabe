#ifndef SAVORYLB_REPLAY_ONCE_RECORD_H
#define SAVORYLB_REPLAY_ONCE_RECORD_H

#include <string>

namespace savorylb::replay {

/// What really became of one identity.
struct OnceRecord {
  int Runs = 0;
  bool Told = false;
  bool ToldUnknown = false;
  std::string FirstAnswer;
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ONCE_RECORD_H
