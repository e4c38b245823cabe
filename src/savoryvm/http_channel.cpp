#include "http_channel.h"

namespace savorylb {
namespace {

constexpr std::int64_t MaxResponseBytes = 8 << 20;
/// Limit of the responses that all channels of the process hold at one time. A
/// VM has up to eight channels, and the smallest VMs have 160 MB.
constexpr std::int64_t ResponseBudgetBytes = 10 << 20;
constexpr Duration ConnectTimeout = Millis(600);

const std::shared_ptr<ByteBudget> &responseBudget() {
  static const auto budget = std::make_shared<ByteBudget>(ResponseBudgetBytes);
  return budget;
}

} // namespace

void HttpChannel::call(HttpMessage request, Duration timeout, const Done &done,
                       const MaySend &maySend) {
  request.Fields.emplace_back("Host", Address);
  if (Connection && Connection->reusable()) {
    transmit(request, timeout, done, maySend);
    return;
  }
  Connection =
      std::make_shared<HttpConnection>(Io, MaxResponseBytes, responseBudget());
  auto connection = Connection;
  std::weak_ptr<void> lifetime = Lifetime;
  connection->connect(
      Address, std::min(timeout, Duration(ConnectTimeout)),
      [this, lifetime, connection, request, timeout, done,
       maySend](bool connected) {
        if (lifetime.expired() || connection != Connection)
          return; // Destroyed, closed or replaced in the meantime.
        if (!connected)
          done(failure(ErrorCode::Unavailable, "no connection"));
        else
          transmit(request, timeout, done, maySend);
      });
}

void HttpChannel::transmit(const HttpMessage &request, Duration timeout,
                           const Done &done, const MaySend &maySend) {
  if (maySend && !maySend()) {
    done(failure(ErrorCode::Unavailable, "no longer allowed"));
    return;
  }
  Exchange exchange;
  exchange.Head = std::make_shared<std::string>(requestHead(request));
  exchange.Body = std::make_shared<std::string>(request.Body);
  exchange.Timeout = timeout;
  auto connection = Connection;
  exchange.Done = [this, connection, done](ExchangeOutcome end,
                                           HttpMessage &response) {
    if (connection != Connection)
      return;
    if (end == ExchangeOutcome::Answered)
      done(Result<HttpMessage>(std::move(response)));
    else if (end == ExchangeOutcome::TimedOut)
      done(failure(ErrorCode::Timeout, "no response in time"));
    else if (connection->ResponseTooLarge)
      done(failure(ErrorCode::Malformed, "response too large"));
    else
      done(failure(ErrorCode::Unknown, "connection broken"));
  };
  Connection->start(std::move(exchange));
}

void HttpChannel::close() {
  if (Connection)
    Connection->close();
  Connection.reset();
}

} // namespace savorylb
