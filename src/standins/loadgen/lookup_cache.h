#ifndef SAVORYLB_STANDINS_LOOKUP_CACHE_H
#define SAVORYLB_STANDINS_LOOKUP_CACHE_H

#include "connection_pool.h"
#include "lookup_result.h"
#include "stream_plan.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Looks up the VMs for one stream and caches the answer. Thread-safe.
class LookupCache {
public:
  /// \param plan, daemons, pool must outlive the cache.
  /// \param noLookup whether `get` returns the daemons in the given order,
  /// without a lookup.
  LookupCache(const StreamPlan &plan, const std::vector<std::string> &daemons,
              bool noLookup, ConnectionPool &pool);

  /// \returns the cached answer; after its expiry, a new one from the first
  /// daemon that answers. It has no VMs when no daemon answered.
  LookupResult get();

  std::uint64_t sent() const;
  std::uint64_t failed() const;
  /// \returns the latency of each successful lookup in microseconds.
  std::vector<std::uint32_t> latencies() const;

private:
  /// Sends a lookup and caches its answer.
  /// \returns false when the answer is missing, malformed or without VMs.
  bool lookUp(const std::string &daemon);

  const StreamPlan &Plan;
  const std::vector<std::string> &Daemons;
  const bool NoLookup;
  ConnectionPool &Pool;
  /// Held during a lookup, so that concurrent requests share one lookup.
  mutable std::mutex Lock;
  LookupResult Cached;
  /// Index of the daemon for the next lookup, modulo their number.
  std::size_t NextDaemon;
  std::uint64_t Sent = 0;
  std::uint64_t Failed = 0;
  std::vector<std::uint32_t> Latencies;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOOKUP_CACHE_H
