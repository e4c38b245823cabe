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

/// How an exchange ended.
enum class ExchangeEnd {
  Answered,
  /// No connection; nothing was sent.
  NotConnected,
  /// Broken, or not HTTP, after bytes of the request were sent.
  Broken,
  /// No response in time.
  TimedOut,
};

/// Checks a response that was read.
enum class ResponseMatch { Wanted, Skip };

/// A request on its way.
struct Exchange {
  std::shared_ptr<const std::string> Head;
  std::shared_ptr<const std::string> Body;
  bool IsHead = false;
  Duration Timeout{0};
  /// Tells responses to the request from late ones to earlier requests.
  std::function<ResponseMatch(const HttpMessage &)> Match;
  std::function<void(ExchangeEnd, HttpMessage &)> Done;
};

/// A client's connection that carries one exchange at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(const asio::any_io_executor &io, std::int64_t maxBodyBytes);

  /// Connects.
  /// \param address `ip:port`.
  /// \param timeout how long it may take.
  /// \param done called with success or not.
  void connect(const std::string &address, Duration timeout,
               const std::function<void(bool)> &done);

  /// Starts an exchange; the connection must be connected and idle.
  void start(Exchange exchange);

  /// Closes without calling Done.
  void close();

  /// \returns whether another exchange can start.
  bool reusable() const { return Open && !Busy; }
  /// How long the other side keeps an idle connection, if it said so.
  std::optional<Duration> KeepAliveFor;
  /// Number of exchanges that ended on this connection.
  int Exchanges = 0;
  MonoTime IdleSince{};
  /// How long the connection took to open.
  Duration ConnectTime{0};

private:
  void readMore();
  void onRead(const boost::system::error_code &ec, std::size_t n);
  void readResponse(bool ended);
  void finish(ExchangeEnd end);

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::int64_t MaxBodyBytes;
  std::string Buffer;
  std::string Chunk;
  std::optional<HttpReader> Reader;
  Exchange Current;
  bool Open = false;
  bool Busy = false;
  bool Reading = false;
  bool Writing = false;
  std::uint64_t Serial = 0;
};

/// \param address `ip:port`.
/// \returns the endpoint, or nothing when the text is not one.
std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &address);

} // namespace savorylb

#endif // SAVORYLB_HTTP_CONNECTION_H
