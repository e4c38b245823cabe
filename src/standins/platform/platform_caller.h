#ifndef SAVORYLB_PLATFORM_CALLER_H
#define SAVORYLB_PLATFORM_CALLER_H

#include "http_connection.h"

#include <functional>
#include <memory>
#include <string>

namespace savorylb::standin {

/// One request as a caller of the platform sends it.
struct CallerRequest {
  std::string Method = "GET";
  std::string Host = "maps.example";
  std::string Path = "/tiles/1";
  std::string Key = "key-1";
  std::string AffinityKey = "17";
  std::string Attempt;
  /// The request carries its attempt id.
  bool SendsAttempt = true;
  std::string Body;
  Millis Timeout{2000};
};

/// Result of a request. Status 0 means that no response arrived.
struct CallerResult {
  int Status = 0;
  /// Whether the connection was established, so that the request was sent.
  bool Sent = false;
  bool HasSignature = false;
  std::string Body;
  std::string RetryAfter;
  Duration Took{0};
};

using CallerHandler = std::function<void(const CallerResult &)>;

/// Sends a request on an open, idle connection, which stays open if the VM
/// allows it.
void callOnConnection(const std::shared_ptr<HttpConnection> &connection,
                      const CallerRequest &request, const CallerHandler &done);

/// Sends a request on a new connection that is kept for further requests if the
/// VM allows it.
/// \returns the connection; closing it abandons the request.
std::shared_ptr<HttpConnection> callAndKeep(asio::io_context &io,
                                            const std::string &address,
                                            const CallerRequest &request,
                                            const CallerHandler &done);

/// Sends a request on a new connection and closes it after the response.
/// \returns the connection; closing it abandons the request.
std::shared_ptr<HttpConnection> callVm(asio::io_context &io,
                                       const std::string &address,
                                       const CallerRequest &request,
                                       const CallerHandler &done);

/// \returns whether a status guarantees that the request was not run.
bool guaranteesNotRun(int status);

} // namespace savorylb::standin

#endif // SAVORYLB_PLATFORM_CALLER_H
