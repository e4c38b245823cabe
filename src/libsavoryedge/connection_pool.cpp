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
    if (now - connection.Since > ConnectionPool::MaxIdleTime)
      idle.clear(); // All others are older.
    else if (!isReadable(*connection.Session))
      return connection;
  }
  return {};
}

IdleConnection takeOldest(ConnectionPool &pool, const std::string &address) {
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

void keepIdle(ConnectionPool &pool, const std::string &address,
              IdleConnection connection, MonoTime now) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  if (connection.OpenedAt < shard.SilentBefore[address])
    return;
  connection.Since = now;
  std::vector<IdleConnection> &idle = shard.Idle[address];
  if (idle.size() < ConnectionPool::MaxIdlePerTarget)
    idle.push_back(std::move(connection));
}

void markSilent(ConnectionPool &pool, const std::string &address,
                MonoTime before) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  MonoTime &mark = shard.SilentBefore[address];
  mark = std::max(mark, before);
  std::vector<IdleConnection> &idle = shard.Idle[address];
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [before](const IdleConnection &it) {
                              return it.OpenedAt < before;
                            }),
             idle.end());
}

bool isMarkedSilent(ConnectionPool &pool, const std::string &address,
                    MonoTime openedAt) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.SilentBefore.find(address);
  return it != shard.SilentBefore.end() && openedAt < it->second;
}

void noteResponseTime(ConnectionPool &pool, const std::string &address,
                      Duration took) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  Duration &longest = shard.Longest[address];
  longest = std::max(took, longest - longest / 32);
}

Duration longestResponse(ConnectionPool &pool, const std::string &address) {
  ConnectionPool::Shard &shard = shardOf(pool, address);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Longest.find(address);
  return it == shard.Longest.end() ? Duration(0) : it->second;
}

bool isReadable(Poco::Net::HTTPClientSession &session) {
  pollfd fd{};
  fd.fd = session.socket().impl()->sockfd();
  fd.events = POLLIN;
  return poll(&fd, 1, 0) != 0;
}

} // namespace savorylb
