#ifndef SAVORYLB_STANDINS_LOAD_OPTIONS_H
#define SAVORYLB_STANDINS_LOAD_OPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Command-line options of the load generator.
struct LoadOptions {
  std::vector<std::string> Daemons;
  std::string PlanFile;
  std::string ReportFile;
  double Seconds = 10;
  std::uint64_t Seed = 1;
  int MaxInFlight = 200;
  int Threads = 200;
  /// Part of all request identities, so that those of two runs differ.
  std::string RunId;
  /// Send requests to the daemons in the given order, without lookups.
  bool NoLookup = false;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOAD_OPTIONS_H
