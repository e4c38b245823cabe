#include "platform_caller.h"

#include "savorylb/clock.h"

namespace savorylb::standin {
namespace {

constexpr std::int64_t MaxBodyBytes = 1 << 20;
constexpr Duration ConnectTimeout = Seconds(1);

HttpMessage toHttpRequest(const CallerRequest &request) {
  HttpMessage message;
  message.Method = request.Method;
  message.Path = request.Path;
  message.Body = request.Body;
  message.Fields = {{"Host", request.Host},
                    {"Savorylb-Deadline-Milliseconds",
                     std::to_string(request.Timeout.count())},
                    {"Cookie", "Savorylb-Affinity-Key=" + request.AffinityKey}};
  if (request.SendsAttempt)
    message.Fields.emplace_back("Savorylb-Attempt-Id", request.Attempt);
  if (!request.Key.empty())
    message.Fields.emplace_back("Authorization", "Token " + request.Key);
  return message;
}

} // namespace

bool guaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void callOnConnection(const std::shared_ptr<HttpConnection> &connection,
                      const CallerRequest &request, const CallerHandler &done) {
  MonoTime startedAt = monoNow();
  HttpMessage message = toHttpRequest(request);
  Exchange exchange;
  exchange.Head = std::make_shared<std::string>(requestHead(message));
  exchange.Body = std::make_shared<std::string>(message.Body);
  exchange.Timeout = Duration(request.Timeout) + Duration(Seconds(1));
  exchange.Done = [done, startedAt](ExchangeOutcome outcome,
                                    HttpMessage &response) {
    CallerResult result;
    result.Sent = true;
    result.Took = monoNow() - startedAt;
    if (outcome == ExchangeOutcome::Answered) {
      result.Status = response.Status;
      result.HasSignature =
          findField(response, "Savorylb-Server-Signature") != nullptr;
      result.Body = response.Body;
      if (const std::string *after = findField(response, "Retry-After"))
        result.RetryAfter = *after;
    }
    done(result);
  };
  connection->start(std::move(exchange));
}

std::shared_ptr<HttpConnection> callAndKeep(asio::io_context &io,
                                            const std::string &address,
                                            const CallerRequest &request,
                                            const CallerHandler &done) {
  auto connection =
      std::make_shared<HttpConnection>(io.get_executor(), MaxBodyBytes);
  connection->connect(address, ConnectTimeout,
                      [connection, request, done](bool connected) {
                        if (connected)
                          callOnConnection(connection, request, done);
                        else
                          done({});
                      });
  return connection;
}

std::shared_ptr<HttpConnection> callVm(asio::io_context &io,
                                       const std::string &address,
                                       const CallerRequest &request,
                                       const CallerHandler &done) {
  auto opened = std::make_shared<std::weak_ptr<HttpConnection>>();
  auto connection = callAndKeep(io, address, request,
                                [opened, done](const CallerResult &result) {
                                  if (auto open = opened->lock())
                                    open->close();
                                  done(result);
                                });
  *opened = connection;
  return connection;
}

} // namespace savorylb::standin
