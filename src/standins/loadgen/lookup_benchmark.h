#ifndef SAVORYLB_STANDINS_LOOKUP_BENCHMARK_H
#define SAVORYLB_STANDINS_LOOKUP_BENCHMARK_H

#include <cstdint>
#include <string>

namespace savorylb::standin {

/// Parameters of a closed-loop benchmark of the lookups of one daemon.
struct LookupBenchmark {
  /// `host:port` of the daemon.
  std::string Daemon;
  std::string Service;
  int Connections = 8;
  double Seconds = 10;
  std::uint64_t Seed = 1;
};

/// Sends lookups for random client addresses over persistent connections, each
/// as soon as the one before has ended.
/// \returns JSON with the rate of successful lookups, the number of failures
/// and latency percentiles. These include failed lookups, except those that
/// ended with a network error.
std::string runLookupBenchmark(const LookupBenchmark &bench);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOOKUP_BENCHMARK_H
