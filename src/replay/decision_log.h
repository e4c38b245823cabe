#ifndef SAVORYLB_REPLAY_DECISION_LOG_H
#define SAVORYLB_REPLAY_DECISION_LOG_H

#include "savorylb/hash.h"
#include "savorylb/units.h"

#include <cstdint>
#include <iostream>
#include <string>

namespace savorylb::replay {

/// Digest and number of all decisions of a replay, in order.
struct DecisionLog {
  std::uint64_t Digest = 0;
  std::uint64_t Count = 0;
  /// Print each decision, to find where two replays diverge.
  bool Print = false;

  void record(Duration at, const std::string &decision) {
    std::string line = std::to_string(at.count()) + " " + decision;
    Digest = stableHash(line, Digest);
    ++Count;
    if (Print)
      std::cout << line << '\n';
  }
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_DECISION_LOG_H
