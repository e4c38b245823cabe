#ifndef SAVORYLB_LIBSAVORYEDGE_CONNECTION_POOL_H
#define SAVORYLB_LIBSAVORYEDGE_CONNECTION_POOL_H

#include "idle_connection.h"
#include "savorylb/units.h"

#include <Poco/Net/HTTPClientSession.h>
#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorylb {

/// Idle connections to targets, sharded by address to reduce lock contention.
struct ConnectionPool {
  static constexpr std::size_t ShardCount = 16;
  static constexpr std::size_t MaxIdlePerTarget = 32;
  static constexpr Duration MaxIdleTime = Seconds(5);

  struct Shard {
    std::mutex Lock;
    std::unordered_map<std::string, std::vector<IdleConnection>> Idle;
    /// Connections opened before this time are considered unresponsive.
    std::unordered_map<std::string, MonoTime> UnresponsiveBefore;
    /// Decays by 1/32 with each shorter response.
    std::unordered_map<std::string, Duration> LongestResponseTime;
  };
  std::array<Shard, ShardCount> Shards;
};

/// Removes from the pool the most recently used idle connection on which
/// nothing can be read. Discards the connections that it passes over: readable
/// ones, which were closed by the peer or received unrequested data, and those
/// idle for longer than MaxIdleTime.
/// \returns the connection; its Session is null when there is none.
IdleConnection takeIdle(ConnectionPool &pool, const std::string &address,
                        MonoTime now);

/// Removes the idle connection that was opened first from the pool.
/// \returns the connection; its Session is null when there is none.
IdleConnection takeOldestIdle(ConnectionPool &pool, const std::string &address);

/// Returns a connection whose last response was read completely to the pool. It
/// is closed instead if it is marked unresponsive or the pool of its address is
/// full.
void returnConnection(ConnectionPool &pool, const std::string &address,
                      IdleConnection connection, MonoTime now);

/// Marks the connections to an address that were opened before a time as
/// unresponsive. Idle ones are closed; requests on the others find out by
/// isMarkedUnresponsive().
void markUnresponsive(ConnectionPool &pool, const std::string &address,
                      MonoTime before);

/// \returns whether connections opened at that time are marked unresponsive.
bool isMarkedUnresponsive(ConnectionPool &pool, const std::string &address,
                          MonoTime openedAt);

/// Updates the longest recent response time of an address.
void recordResponseTime(ConnectionPool &pool, const std::string &address,
                        Duration took);
/// \returns the longest recent response time, or zero if none is known.
Duration longestResponseTime(ConnectionPool &pool, const std::string &address);

/// \returns true when data or the end of the stream can be read. On an idle
/// connection this means that the peer closed it or sent unrequested data.
bool isReadable(Poco::Net::HTTPClientSession &session);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_CONNECTION_POOL_H
