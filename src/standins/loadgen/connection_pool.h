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

/// Keep-alive connections by address, shared by all threads.
class ConnectionPool {
public:
  /// Sends a request and reads the answer.
  /// \param address `host:port`.
  /// \param limit longest wait for any single step.
  Attempt exchange(const std::string &address, Poco::Net::HTTPRequest &req,
                   const std::string &body, std::chrono::microseconds limit);

private:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

  Session take(const std::string &address);
  Session connect(const std::string &address, std::chrono::microseconds limit);
  void giveBack(const std::string &address, Session it);

  std::mutex Lock;
  std::map<std::string, std::vector<Session>> Idle;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CONNECTION_POOL_H
