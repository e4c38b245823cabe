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

/// Idle connections to targets, in shards by address.
struct ConnectionPool {
  static constexpr std::size_t ShardCount = 16;
  static constexpr std::size_t MaxIdlePerTarget = 32;
  static constexpr Duration MaxIdleTime = Seconds(5);

  struct Shard {
    std::mutex Lock;
    std::unordered_map<std::string, std::vector<IdleConnection>> Idle;
    /// Connections opened before this time no longer answer.
    std::unordered_map<std::string, MonoTime> SilentBefore;
    /// Longest recent response time.
    std::unordered_map<std::string, Duration> Longest;
  };
  std::array<Shard, ShardCount> Shards;
};

/// Takes the most recently used idle connection that is not closed.
/// \returns one without a session when there is none.
IdleConnection takeIdle(ConnectionPool &pool, const std::string &address,
                        MonoTime now);

/// Takes the idle connection that was opened first.
/// \returns one without a session when there is none.
IdleConnection takeOldest(ConnectionPool &pool, const std::string &address);

/// Keeps a connection whose last response was read whole.
void keepIdle(ConnectionPool &pool, const std::string &address,
              IdleConnection connection, MonoTime now);

/// Drops the idle connections of an address opened before a time, and lets
/// requests on others of that age know.
void markSilent(ConnectionPool &pool, const std::string &address,
                MonoTime before);

/// \returns whether connections opened at that time no longer answer.
bool isMarkedSilent(ConnectionPool &pool, const std::string &address,
                    MonoTime openedAt);

/// Notes how long a response took; older times fade.
void noteResponseTime(ConnectionPool &pool, const std::string &address,
                      Duration took);
/// \returns the longest of the recent response times.
Duration longestResponse(ConnectionPool &pool, const std::string &address);

/// \returns true when the peer has closed or sent something unasked.
bool isReadable(Poco::Net::HTTPClientSession &session);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_CONNECTION_POOL_H
