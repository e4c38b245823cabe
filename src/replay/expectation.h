#ifndef SAVORYLB_REPLAY_EXPECTATION_H
#define SAVORYLB_REPLAY_EXPECTATION_H

#include <limits>
#include <map>
#include <string>

namespace savorylb::replay {

/// Figures that a replay measured, by name.
using Figures = std::map<std::string, double>;

/// A stated outcome: the bounds of one figure.
struct Expectation {
  std::string Figure;
  double Min = -std::numeric_limits<double>::infinity();
  double Max = std::numeric_limits<double>::infinity();
};

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_EXPECTATION_H
