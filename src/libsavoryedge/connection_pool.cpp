#include "connection_pool.h"

#include <algorithm>
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

IdleConnection takeIdle(ConnectionPool &pool, const std::string &address,
                        MonoTime now) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Idle.find(address);
  if (it == shard.Idle.end())
    return {};
  std::vector<IdleConnection> &idle = it->second;
  while (!idle.empty()) {
    IdleConnection connection = std::move(idle.back());
    idle.pop_back();
    if (now - connection.IdleSince > ConnectionPool::MaxIdleTime)
      idle.clear(); // All others have been idle for longer.
    else if (!isReadable(*connection.Session))
      return connection;
  }
  return {};
}

IdleConnection takeOldestIdle(ConnectionPool &pool,
                              const std::string &address) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  std::vector<IdleConnection> &idle = shard.Idle[address];
  auto first = std::min_element(idle.begin(), idle.end(), [](auto &a, auto &b) {
    return a.OpenedAt < b.OpenedAt;
  });
  if (first == idle.end())
    return {};
  IdleConnection connection = std::move(*first);
  idle.erase(first);
  return connection;
}

void returnConnection(ConnectionPool &pool, const std::string &address,
                      IdleConnection connection, MonoTime now) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  if (connection.OpenedAt < shard.UnresponsiveBefore[address])
    return;
  connection.IdleSince = now;
  std::vector<IdleConnection> &idle = shard.Idle[address];
  if (idle.size() < ConnectionPool::MaxIdlePerTarget)
    idle.push_back(std::move(connection));
}

void markUnresponsive(ConnectionPool &pool, const std::string &address,
                      MonoTime before) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  MonoTime &limit = shard.UnresponsiveBefore[address];
  limit = std::max(limit, before);
  std::vector<IdleConnection> &idle = shard.Idle[address];
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [before](const IdleConnection &it) {
                              return it.OpenedAt < before;
                            }),
             idle.end());
}

bool isMarkedUnresponsive(ConnectionPool &pool, const std::string &address,
                          MonoTime openedAt) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.UnresponsiveBefore.find(address);
  return it != shard.UnresponsiveBefore.end() && openedAt < it->second;
}

void recordResponseTime(ConnectionPool &pool, const std::string &address,
                        Duration took) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  Duration &longest = shard.LongestResponseTime[address];
  longest = std::max(took, longest - longest / 32);
}

Duration longestResponseTime(ConnectionPool &pool, const std::string &address) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.LongestResponseTime.find(address);
  return it == shard.LongestResponseTime.end() ? Duration(0) : it->second;
}

bool isReadable(Poco::Net::HTTPClientSession &session) {
  pollfd fd{};
  fd.fd = session.socket().impl()->sockfd();
  fd.events = POLLIN;
  return poll(&fd, 1, 0) != 0;
}

} // namespace savorylb
