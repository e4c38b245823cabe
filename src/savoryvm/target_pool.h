#ifndef SAVORYLB_TARGET_POOL_H
#define SAVORYLB_TARGET_POOL_H

#include "http_connection.h"
#include "savorylb/ids.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace savorylb {

/// A pool of persistent connections to targets.
class TargetPool {
public:
  /// \param maxBodyBytes limit of one response's body.
  /// \param budget limits the bodies of all responses together.
  TargetPool(asio::io_context &io, std::int64_t maxBodyBytes,
             std::shared_ptr<ByteBudget> budget)
      : Io(io), MaxBodyBytes(maxBodyBytes), Budget(std::move(budget)) {}

  /// Receives the connection, or null when none could be opened.
  using ReadyCallback = std::function<void(std::shared_ptr<HttpConnection>)>;

  /// Reuses an idle connection to a target or opens a new one.
  /// \param address `ip:port` of the target.
  /// \param maxIdle connections that have been idle for longer are closed;
  ///        nothing to open a new connection in any case.
  /// \param ready called with the connection; Exchanges is 0 for a new one.
  void acquire(const TargetId &target, const std::string &address,
               std::optional<Duration> maxIdle, const ReadyCallback &ready);

  /// Returns a connection to the pool after an exchange.
  void release(const TargetId &target,
               const std::shared_ptr<HttpConnection> &connection);

  /// Closes the idle connections of a target.
  void drop(const TargetId &target);

  /// Closes the connections that have been idle for too long or have ended.
  void sweep();

private:
  asio::io_context &Io;
  std::int64_t MaxBodyBytes;
  std::shared_ptr<ByteBudget> Budget;
  std::map<TargetId, std::vector<std::shared_ptr<HttpConnection>>> Idle;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_POOL_H
