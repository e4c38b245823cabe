#ifndef SAVORYLB_STANDINS_LOOKUP_RUN_H
#define SAVORYLB_STANDINS_LOOKUP_RUN_H

#include <cstdint>
#include <string>

namespace savorylb::standin {

/// A closed loop of lookups, to find how many one daemon answers.
struct LookupRun {
  /// `host:port` of the daemon.
  std::string Daemon;
  std::string Service;
  int Connections = 8;
  double Seconds = 10;
  std::uint64_t Seed = 1;
};

/// Sends lookups for random client addresses on connections that stay open.
/// \returns JSON with the rate, the failures and the latency percentiles.
std::string runLookups(const LookupRun &run);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOOKUP_RUN_H
