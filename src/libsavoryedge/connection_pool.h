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
  };
  std::array<Shard, ShardCount> Shards;
};

/// Takes the most recently used idle connection that is not closed.
/// \returns null when there is none.
std::unique_ptr<Poco::Net::HTTPClientSession>
takeIdle(ConnectionPool &pool, const std::string &address, MonoTime now);

/// Keeps a connection whose last response was read whole.
void keepIdle(ConnectionPool &pool, const std::string &address,
              std::unique_ptr<Poco::Net::HTTPClientSession> session,
              MonoTime now);

/// \returns true when the peer has closed or sent something unasked.
bool isReadable(Poco::Net::HTTPClientSession &session);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_CONNECTION_POOL_H
