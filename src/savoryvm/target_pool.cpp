#include "target_pool.h"

#include "savorylb/clock.h"

#include <algorithm>

namespace savorylb {
namespace {

/// A target in another region accepts a connection within a tenth of this time;
/// a longer wait means a lost packet or a target that is gone.
constexpr Duration ConnectTimeout = Millis(700);
/// Longest time that an idle connection is kept; shorter if the target
/// announces a shorter keep-alive time.
constexpr Duration MaxIdleTime = Millis(5000);
/// Fraction of the target's keep-alive time after which a connection is no
/// longer used; the rest is a margin for network delay.
constexpr double KeepAliveFraction = 0.6;

Duration idleLimit(const HttpConnection &connection) {
  if (!connection.KeepAliveTimeout)
    return MaxIdleTime;
  auto usable = Duration(static_cast<Duration::rep>(
      KeepAliveFraction *
      static_cast<double>(connection.KeepAliveTimeout->count())));
  return std::min(MaxIdleTime, usable);
}

} // namespace

void TargetPool::acquire(const TargetId &target, const std::string &address,
                         std::optional<Duration> maxIdle,
                         const ReadyCallback &ready) {
  auto &idle = Idle[target];
  MonoTime now = monoNow();
  while (maxIdle && !idle.empty()) {
    auto connection = idle.back();
    idle.pop_back();
    Duration age = now - connection->IdleSince;
    if (connection->reusable() && age <= *maxIdle &&
        age <= idleLimit(*connection)) {
      ready(connection);
      return;
    }
    connection->close();
  }
  auto connection =
      std::make_shared<HttpConnection>(Io.get_executor(), MaxBodyBytes, Budget);
  connection->connect(address, ConnectTimeout,
                      [connection, ready](bool connected) {
                        ready(connected ? connection : nullptr);
                      });
}

void TargetPool::release(const TargetId &target,
                         const std::shared_ptr<HttpConnection> &connection) {
  if (connection->reusable())
    Idle[target].push_back(connection);
}

void TargetPool::drop(const TargetId &target) {
  auto it = Idle.find(target);
  if (it == Idle.end())
    return;
  for (const auto &connection : it->second)
    connection->close();
  Idle.erase(it);
}

void TargetPool::sweep() {
  MonoTime now = monoNow();
  for (auto it = Idle.begin(); it != Idle.end();) {
    auto &idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [&](const auto &connection) {
                                if (connection->reusable() &&
                                    now - connection->IdleSince <=
                                        idleLimit(*connection))
                                  return false;
                                connection->close();
                                return true;
                              }),
               idle.end());
    it = idle.empty() ? Idle.erase(it) : std::next(it);
  }
}

} // namespace savorylb
