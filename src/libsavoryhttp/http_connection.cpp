#include "http_connection.h"

#include "savorylb/clock.h"
#include "socket_read.h"

#include <charconv>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace savorylb {
namespace {

constexpr std::int64_t MaxResponseHeadBytes = 65'536;
/// Interim and skipped responses that are read before the response to one
/// request. A late response to an earlier request is rare, so more of them come
/// from a faulty peer that would otherwise be read until the timeout.
constexpr int MaxSkippedResponses = 8;
/// The same for the bytes of their bodies.
constexpr std::size_t MaxSkippedBytes = 4 << 20;
/// The kernel closes a connection whose data is unacknowledged for this long.
constexpr int TcpUserTimeoutMs = 1500;

std::optional<Duration> parseKeepAliveTimeout(const HttpMessage &message) {
  const std::string *text = findField(message, "Keep-Alive");
  if (!text)
    return std::nullopt;
  std::size_t at = text->find("timeout=");
  if (at == std::string::npos)
    return std::nullopt;
  unsigned short seconds = 0;
  auto read = std::from_chars(text->data() + at + std::strlen("timeout="),
                              text->data() + text->size(), seconds);
  if (read.ec != std::errc())
    return std::nullopt;
  return Duration(Seconds(seconds));
}

const char *rejectReason(ReadError error) {
  switch (error) {
  case ReadError::HeaderTooLarge:
    return "head-too-large";
  case ReadError::BodyTooLarge:
    return "body-too-large";
  case ReadError::NoMemory:
    return "no-memory";
  case ReadError::Malformed:
    return "malformed";
  case ReadError::None:
    break;
  }
  return nullptr;
}

} // namespace

std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &address) {
  std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  boost::system::error_code ec;
  auto ip = asio::ip::make_address_v4(address.substr(0, colon), ec);
  // atoi() has undefined behaviour for large numbers and accepts other text
  // behind the digits.
  std::uint16_t port = 0;
  const char *end = address.data() + address.size();
  auto read = std::from_chars(address.data() + colon + 1, end, port);
  if (ec || read.ec != std::errc() || read.ptr != end || port == 0)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

HttpConnection::HttpConnection(const asio::any_io_executor &io,
                               std::int64_t maxBodyBytes,
                               std::shared_ptr<ByteBudget> budget)
    : Socket(io), Timer(io), MaxBodyBytes(maxBodyBytes),
      Budget(std::move(budget)) {}

void HttpConnection::connect(const std::string &address, Duration timeout,
                             const std::function<void(bool)> &done) {
  auto endpoint = parseEndpoint(address);
  auto self = shared_from_this();
  if (!endpoint) {
    asio::post(Socket.get_executor(), [done] { done(false); });
    return;
  }
  MonoTime startedAt = monoNow();
  Timer.expires_after(timeout);
  Timer.async_wait([self](const boost::system::error_code &ec) {
    // The handler may have been queued before the connection was established
    // and the timer cancelled.
    if (!ec && !self->Open)
      self->close();
  });
  Socket.async_connect(
      *endpoint, [self, done, startedAt](const boost::system::error_code &ec) {
        self->Timer.cancel();
        if (ec || !self->Socket.is_open()) {
          self->close();
          done(false);
          return;
        }
        boost::system::error_code ignored; // The option is not essential.
        self->Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->Socket.non_blocking(true, ignored); // Cannot fail when open.
        int ms = TcpUserTimeoutMs;
        setsockopt(self->Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &ms, sizeof ms);
        self->ConnectTime = monoNow() - startedAt;
        self->Open = true;
        self->readMore();
        done(true);
      });
}

void HttpConnection::expectResponse() {
  Reader.emplace(HttpReader::Kind::Response, MaxResponseHeadBytes, MaxBodyBytes,
                 Budget);
  if (Current.IsHeadRequest)
    Reader->expectNoBody();
}

void HttpConnection::start(Exchange exchange) {
  auto self = shared_from_this();
  Current = std::move(exchange);
  Busy = true;
  Writing = true;
  std::uint64_t generation = ++Generation;
  SkippedResponses = 0;
  SkippedBytes = 0;
  RejectReason = nullptr;
  ResponseTooLarge = false;
  expectResponse();
  Timer.expires_after(Current.Timeout);
  Timer.async_wait([self, generation](const boost::system::error_code &ec) {
    if (!ec && self->Generation == generation && self->Busy)
      self->finish(ExchangeOutcome::TimedOut);
  });
  std::array<asio::const_buffer, 2> parts = {
      asio::buffer(*Current.Head),
      Current.Body ? asio::buffer(*Current.Body) : asio::const_buffer()};
  auto head = Current.Head;
  auto body = Current.Body;
  asio::async_write(Socket, parts,
                    [self, generation, head,
                     body](const boost::system::error_code &ec, std::size_t) {
                      if (self->Generation != generation)
                        return;
                      self->Writing = false;
                      // The response may have arrived before the write
                      // failed, so readResponse() determines the outcome.
                      if (ec)
                        self->Open = false;
                    });
}

void HttpConnection::close() {
  Open = false;
  Busy = false;
  ++Generation;
  Current = Exchange();
  Timer.cancel();
  Reader.reset();
  Buffer = std::string();
  boost::system::error_code ignored; // The socket is discarded in any case.
  Socket.close(ignored);
}

void HttpConnection::readMore() {
  if (Reading || !Socket.is_open())
    return;
  Reading = true;
  auto self = shared_from_this();
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [self](const boost::system::error_code &ec) {
                      self->Reading = false;
                      self->onReadable(ec);
                    });
}

void HttpConnection::onReadable(boost::system::error_code ec) {
  if (!ec)
    ec = readAvailable(Socket, Buffer);
  if (ec == asio::error::would_block) {
    readMore();
    return;
  }
  if (!Busy) {
    // No data is expected on an idle connection: the peer closed it or sent
    // bytes that belong to no request.
    close();
    return;
  }
  if (ec && ec != asio::error::eof) {
    finish(ExchangeOutcome::Broken);
    return;
  }
  readResponse(ec == asio::error::eof);
}

/// Counts an interim response or one to another request.
/// \returns whether the exchange can continue.
bool HttpConnection::skipResponse(const HttpMessage &message) {
  ++SkippedResponses;
  SkippedBytes += message.Body.size();
  return SkippedResponses <= MaxSkippedResponses &&
         SkippedBytes <= MaxSkippedBytes;
}

/// \returns whether the peer's system has received the whole request.
bool HttpConnection::requestReceived() {
  // After a failed write, Open is false.
  if (Writing || !Open)
    return false;
  // Where the system does not tell, the completed write has to do.
  int unacknowledged = 0;
  int failed = ioctl(Socket.native_handle(), SIOCOUTQ, &unacknowledged);
  return failed != 0 || unacknowledged == 0;
}

void HttpConnection::readResponse(bool ended) {
  while (true) {
    ReadState state = Reader->read(Buffer);
    if (state == ReadState::NeedMore && ended) {
      state = Reader->started() ? Reader->readEof() : ReadState::Invalid;
      // Only the end of the stream shows that this response is complete. A peer
      // that ends it before it has the whole request may have failed, and the
      // end may be a reset whose error the failed write has received.
      if (state == ReadState::Complete && !requestReceived()) {
        finish(ExchangeOutcome::Broken);
        return;
      }
    }
    if (state == ReadState::Invalid) {
      RejectReason = rejectReason(Reader->error());
      ResponseTooLarge = Reader->error() == ReadError::BodyTooLarge ||
                         Reader->error() == ReadError::NoMemory;
      finish(ExchangeOutcome::Broken);
      return;
    }
    if (state == ReadState::NeedMore) {
      readMore();
      return;
    }
    HttpMessage &message = Reader->message();
    bool interim = message.Status >= 100 && message.Status < 200;
    if (!interim &&
        (!Current.Match || Current.Match(message) == ResponseMatch::Accept)) {
      if (ended)
        message.KeepAlive = false;
      finish(ExchangeOutcome::Answered);
      return;
    }
    if (!interim && !message.KeepAlive) {
      finish(ExchangeOutcome::Broken);
      return;
    }
    SawForeign |= !interim;
    if (!skipResponse(message)) {
      RejectReason = "too-many-responses";
      finish(ExchangeOutcome::Broken);
      return;
    }
    expectResponse();
  }
}

void HttpConnection::finish(ExchangeOutcome outcome) {
  auto self = shared_from_this();
  auto done = std::move(Current.Done);
  HttpMessage message;
  if (outcome == ExchangeOutcome::Answered)
    message = std::move(Reader->message());
  Busy = false;
  ++Exchanges;
  IdleSince = monoNow();
  Timer.cancel();
  Reader.reset();
  // The connection cannot be reused after surplus bytes behind the response, a
  // response to another request, which may come again, or an incompletely sent
  // request.
  if (outcome != ExchangeOutcome::Answered || !message.KeepAlive || Writing ||
      !Open || SawForeign || !Buffer.empty()) {
    close();
  } else {
    KeepAliveTimeout = parseKeepAliveTimeout(message);
    ++Generation;
    Current = Exchange();
    Buffer = std::string(); // Frees its capacity while the connection is idle.
    readMore();
  }
  if (done)
    done(outcome, message);
}

} // namespace savorylb
