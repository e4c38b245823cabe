#ifndef SAVORYLB_HTTP_SESSION_H
#define SAVORYLB_HTTP_SESSION_H

#include "http_server.h"

#include <deque>
#include <optional>

namespace savorylb {

/// One connection of a client.
///
/// Requests that a client sends before it has the response to an earlier one
/// are handled concurrently where the server's ConcurrencyRule allows it. The
/// responses are sent in the order of the requests.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
  enum class ClosedBy { Client, Server };

  Session(HttpServer &server, asio::ip::tcp::socket socket);

  void start();
  void close(ClosedBy by);
  /// \returns whether the connection has no request, not even a part of one.
  bool idle() const;
  /// Parses and serves buffered requests as far as the limits allow.
  void advance();
  /// Breaks off the requests that delay the handler's response to a later one.
  void releaseResponses();
  /// Breaks off all requests that await their response, and rejects one that
  /// has not been received completely.
  void breakOffRequests();

private:
  /// A request whose response has not been written completely.
  struct PendingResponse {
    /// Null once the response is known.
    std::shared_ptr<ServedRequest> Request;
    std::optional<HttpMessage> Response;
    /// The connection closes at this place, without a response.
    bool Aborted = false;
    /// The connection closes after the response.
    bool ClosesConnection = false;
    bool IsHeadRequest = false;
    /// The response is a rejection that the handler was not asked for.
    bool Rejected = false;
  };

  /// When the bytes from an offset of the client's stream on were read.
  struct ReadMark {
    std::uint64_t Offset = 0;
    MonoTime At{};
  };

  bool readerStarted() const { return Reader && Reader->started(); }
  /// \returns whether bytes of a further request may be parsed now.
  bool mayParse() const;
  /// \returns whether a parsed request may be passed to the handler now.
  bool mayServe(const HttpMessage &request) const;
  bool isConcurrent(const HttpMessage &request) const;

  /// \returns whether parsing can continue with the next request.
  bool parseRequest();
  MonoTime arrivalOfBuffer();
  void onIncompleteRequest(bool first);
  /// Serves, holds or rejects a complete request.
  void take(HttpMessage message);
  void serve(HttpMessage message);
  void respond(const std::shared_ptr<ServedRequest> &request,
               HttpMessage response);
  void abort(const std::shared_ptr<ServedRequest> &request);
  PendingResponse *find(const std::shared_ptr<ServedRequest> &request);
  /// Breaks off those of the first `n` requests that await their response.
  void breakOff(std::size_t n);

  /// Responds to a complete request without calling the handler.
  void rejectAtStop(const HttpMessage &request);
  void rejectInvalid();
  /// Responds without calling the handler and takes no further requests.
  void reject(int status, const char *reason);
  /// Closes the connection once the outstanding responses have been sent.
  void closeAfterResponses();
  void sendContinue();

  /// Writes the next response if it is known.
  void writeNext();
  void write(HttpMessage response, bool close, bool isHeadRequest);
  void onWritten(const boost::system::error_code &ec, bool close);
  void linger();

  void readMore();
  void onReadable(boost::system::error_code ec);
  void becomeIdle();

  void setTimer(asio::steady_timer &timer, std::uint64_t &generation,
                Duration span, void (Session::*onExpiry)());
  void setReadTimer(Duration span);
  void cancelReadTimer();
  void setWriteTimer(Duration span);
  void onReadTimer();
  void onWriteTimer() { close(ClosedBy::Server); }

  HttpServer &Server;
  asio::ip::tcp::socket Socket;
  /// Limits the time to receive a request, or to stay idle.
  asio::steady_timer ReadTimer;
  asio::steady_timer WriteTimer;
  /// Incremented when the timer is set or cancelled.
  std::uint64_t ReadTimerGeneration = 0;
  std::uint64_t WriteTimerGeneration = 0;
  /// Bytes that were read and not parsed yet.
  std::string Buffer;
  std::uint64_t BytesRead = 0;
  std::deque<ReadMark> ReadMarks;
  std::optional<HttpReader> Reader;
  /// Time of the first byte of the request that is being parsed or held.
  MonoTime ArrivedAt{};
  /// A complete request that may not run concurrently with those before it.
  std::optional<HttpMessage> Held;
  /// In the order of the requests.
  std::deque<PendingResponse> Pending;
  /// Total body size of the responses in Pending.
  std::size_t WaitingBytes = 0;
  MonoTime IdleSince{};
  bool Reading = false;
  bool Writing = false;
  bool Lingering = false;
  bool ContinueSent = false;
  /// No further request is taken from this connection.
  bool LastRequestTaken = false;
  bool Closed = false;
};

} // namespace savorylb

#endif // SAVORYLB_HTTP_SESSION_H
