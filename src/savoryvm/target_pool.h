#ifndef SAVORYLB_TARGET_POOL_H
#define SAVORYLB_TARGET_POOL_H

#include "http_connection.h"
#include "savorylb/ids.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace savorylb {

/// Connections to targets.
class TargetPool {
public:
  TargetPool(asio::io_context &io, std::int64_t maxBodyBytes)
      : Io(io), MaxBodyBytes(maxBodyBytes) {}

  /// A connection on its way to a request, or null when none could be opened.
  using Ready = std::function<void(std::shared_ptr<HttpConnection>)>;

  /// Finds an idle connection or opens one.
  /// \param target whose connections are shared.
  /// \param address where the target listens.
  /// \param maxIdle idle connections older than this are not used.
  /// \param ready called with the connection; fresh ones have no Exchanges.
  void acquire(const TargetId &target, const std::string &address,
               Duration maxIdle, const Ready &ready);

  /// Takes a connection back after an exchange.
  void release(const TargetId &target,
               const std::shared_ptr<HttpConnection> &connection);

  /// Closes the idle connections of a target.
  void drop(const TargetId &target);

  /// Closes connections that were idle for long or that have ended.
  void sweep();

private:
  asio::io_context &Io;
  std::int64_t MaxBodyBytes;
  std::map<TargetId, std::vector<std::shared_ptr<HttpConnection>>> Idle;
};

} // namespace savorylb

#endif // SAVORYLB_TARGET_POOL_H
