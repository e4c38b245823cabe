#ifndef SAVORYLB_REPLAY_EXPECTATION_H
#define SAVORYLB_REPLAY_EXPECTATION_H

#include <limits>
#include <map>
#include <string>

namespace savorylb::replay {

/// Values that a replay measured, by name.
using Measurements = std::map<std::string, double>;

/// Expected range of one measured value.
struct Expectation {
  std::string Measurement;
  double Min = -std::numeric_limits<double>::infinity();
  double Max = std::numeric_limits<double>::infinity();
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_EXPECTATION_H
