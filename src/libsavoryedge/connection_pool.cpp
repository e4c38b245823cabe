#include "connection_pool.h"

#include <functional>
#include <poll.h>

namespace savorylb {
namespace {

ConnectionPool::Shard &shardOf(ConnectionPool &pool,
                               const std::string &address) {
  std::size_t h = std::hash<std::string>()(address);
  return pool.Shards[h % ConnectionPool::ShardCount];
}

} // namespace

std::unique_ptr<Poco::Net::HTTPClientSession>
takeIdle(ConnectionPool &pool, const std::string &address, MonoTime now) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Idle.find(address);
  if (it == shard.Idle.end())
    return nullptr;
  std::vector<IdleConnection> &idle = it->second;
  while (!idle.empty()) {
    IdleConnection connection = std::move(idle.back());
    idle.pop_back();
    if (now - connection.Since > ConnectionPool::MaxIdleTime)
      idle.clear(); // All others are older.
    else if (!isReadable(*connection.Session))
      return std::move(connection.Session);
  }
  return nullptr;
}

void keepIdle(ConnectionPool &pool, const std::string &address,
              std::unique_ptr<Poco::Net::HTTPClientSession> session,
              MonoTime now) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  std::vector<IdleConnection> &idle = shard.Idle[address];
  if (idle.size() < ConnectionPool::MaxIdlePerTarget)
    idle.push_back({std::move(session), now});
}

bool isReadable(Poco::Net::HTTPClientSession &session) {
  pollfd fd{};
  fd.fd = session.socket().impl()->sockfd();
  fd.events = POLLIN;
  return poll(&fd, 1, 0) != 0;
}

} // namespace savorylb
