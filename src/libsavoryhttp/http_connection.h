#ifndef SAVORYLB_HTTP_CONNECTION_H
#define SAVORYLB_HTTP_CONNECTION_H

#include "http_reader.h"
#include "savorylb/units.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorylb {

namespace asio = boost::asio;

/// Outcome of an HTTP exchange.
enum class ExchangeOutcome {
  Answered,
  /// Never reported: when no connection could be opened, connect() reports it
  /// and nothing is sent.
  NotConnected,
  /// The connection failed or ended without a valid, accepted response; the
  /// request may have been sent.
  Broken,
  /// No response arrived within the timeout.
  TimedOut,
};

/// Whether a response belongs to the current request.
enum class ResponseMatch { Accept, Skip };

/// One request, its timeout and the handler of its outcome.
struct Exchange {
  /// Request line and header fields.
  std::shared_ptr<const std::string> Head;
  std::shared_ptr<const std::string> Body;
  bool IsHeadRequest = false;
  Duration Timeout{0};
  /// Distinguishes the response to this request from late responses to earlier
  /// requests. Accepts every response if empty.
  std::function<ResponseMatch(const HttpMessage &)> Match;
  std::function<void(ExchangeOutcome, HttpMessage &)> Done;
};

/// An HTTP client connection that carries one exchange at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// \param maxBodyBytes limit of one response's body.
  /// \param budget charged with the responses, or null.
  HttpConnection(const asio::any_io_executor &io, std::int64_t maxBodyBytes,
                 std::shared_ptr<ByteBudget> budget = nullptr);

  /// Opens the connection asynchronously.
  /// \param address `ip:port`.
  /// \param done called with true on success.
  void connect(const std::string &address, Duration timeout,
               const std::function<void(bool)> &done);

  /// Starts an exchange; the connection must be connected and idle.
  void start(Exchange exchange);

  /// Closes the connection without calling Exchange::Done.
  void close();

  /// \returns whether another exchange can start.
  bool reusable() const { return Open && !Busy; }
  /// Idle timeout from the peer's Keep-Alive header, if it sent one.
  std::optional<Duration> KeepAliveTimeout;
  /// Number of finished exchanges on this connection.
  int Exchanges = 0;
  MonoTime IdleSince{};
  /// Time that the connection took to open.
  Duration ConnectTime{0};
  /// Why the bytes of the last exchange were rejected; null if the connection
  /// itself failed.
  const char *RejectReason = nullptr;
  /// The last response exceeded the size limit or the memory budget.
  bool ResponseTooLarge = false;

private:
  void expectResponse();
  bool skipResponse(const HttpMessage &message);
  void readMore();
  void onReadable(boost::system::error_code ec);
  bool requestReceived();
  void readResponse(bool ended);
  void finish(ExchangeOutcome outcome);

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::int64_t MaxBodyBytes;
  std::shared_ptr<ByteBudget> Budget;
  std::string Buffer;
  std::optional<HttpReader> Reader;
  Exchange Current;
  /// Interim and skipped responses of the current exchange, and the bytes of
  /// their bodies.
  int SkippedResponses = 0;
  std::size_t SkippedBytes = 0;
  /// A response to another request arrived on the connection.
  bool SawForeign = false;
  bool Open = false;
  bool Busy = false;
  bool Reading = false;
  bool Writing = false;
  std::uint64_t Generation = 0;
};

/// Parses an IPv4 endpoint.
/// \param address `ip:port`.
/// \returns the endpoint, or nothing if the text is invalid.
std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &address);

} // namespace savorylb

#endif // SAVORYLB_HTTP_CONNECTION_H
