#ifndef SAVORYLB_STANDINS_LOAD_OPTIONS_H
#define SAVORYLB_STANDINS_LOAD_OPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Command line of the load generator.
struct LoadOptions {
  std::vector<std::string> Daemons;
  std::string PlanFile;
  std::string ReportFile;
  double Seconds = 10;
  std::uint64_t Seed = 1;
  int MaxInFlight = 200;
  int Threads = 200;
  /// Part of all identities; keeps those of two runs apart.
  std::string RunId;
  /// Use the daemons in order instead of looking them up.
  bool Direct = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOAD_OPTIONS_H
