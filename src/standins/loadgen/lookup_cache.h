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

/// The cached lookup of one stream.
class LookupCache {
public:
  /// \param daemons addresses to ask.
  /// \param direct true to use the daemons in order without a lookup.
  LookupCache(const StreamPlan &plan, const std::vector<std::string> &daemons,
              bool direct, ConnectionPool &pool);

  /// \returns the VMs to use; asks again when the answer's time is over. It is
  /// without VMs when no daemon answered.
  LookupResult get();

  std::uint64_t sent() const;
  std::uint64_t failed() const;
  /// \returns microseconds of each answered lookup.
  std::vector<std::uint32_t> latencies() const;

private:
  bool ask(const std::string &daemon);

  const StreamPlan &Plan;
  const std::vector<std::string> &Daemons;
  const bool Direct;
  ConnectionPool &Pool;
  /// Held during a lookup, so that a stream asks once for all its requests.
  mutable std::mutex Lock;
  LookupResult Cached;
  /// Daemon to ask next.
  std::size_t Next;
  std::uint64_t Sent = 0;
  std::uint64_t Failed = 0;
  std::vector<std::uint32_t> Latencies;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOOKUP_CACHE_H
