#ifndef SAVORYLB_STANDINS_CONNECTION_POOL_H
#define SAVORYLB_STANDINS_CONNECTION_POOL_H

#include "attempt.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Keep-alive HTTP connections by address. Thread-safe.
class ConnectionPool {
public:
  /// Sends a request and reads the response.
  /// \param address `host:port`.
  /// \param timeout maximum wait for each send and each receive operation;
  /// also bounds the connect, which takes at most 1 s.
  Attempt exchange(const std::string &address, Poco::Net::HTTPRequest &req,
                   const std::string &body, std::chrono::microseconds timeout);

private:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

  /// \returns an idle connection that is still open, or null.
  Session takeIdle(const std::string &address);
  Session connect(const std::string &address,
                  std::chrono::microseconds timeout);
  /// Returns a connection to the pool.
  void release(const std::string &address, Session it);

  std::mutex Lock;
  std::map<std::string, std::vector<Session>> Idle;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CONNECTION_POOL_H
