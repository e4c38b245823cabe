#include "http_connection.h"

#include "savorylb/clock.h"

#include <cstdlib>
#include <netinet/tcp.h>

namespace savorylb {
namespace {

constexpr std::size_t ReadChunk = 16'384;
constexpr std::int64_t MaxResponseHead = 65'536;
/// Unacknowledged bytes for this long mean that the path is gone.
constexpr int UnackedMs = 1500;

std::optional<Duration> keepAliveSpan(const HttpMessage &message) {
  const std::string *text = findField(message, "Keep-Alive");
  if (!text)
    return std::nullopt;
  std::size_t at = text->find("timeout=");
  if (at == std::string::npos)
    return std::nullopt;
  return Duration(Seconds(std::atoi(text->c_str() + at + 8)));
}

} // namespace

std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &address) {
  std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  boost::system::error_code ec;
  auto ip = asio::ip::make_address_v4(address.substr(0, colon), ec);
  int port = std::atoi(address.c_str() + colon + 1);
  if (ec || port <= 0 || port > 65535)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

HttpConnection::HttpConnection(const asio::any_io_executor &io,
                               std::int64_t maxBodyBytes)
    : Socket(io), Timer(io), MaxBodyBytes(maxBodyBytes), Chunk(ReadChunk, 0) {}

void HttpConnection::connect(const std::string &address, Duration timeout,
                             const std::function<void(bool)> &done) {
  auto endpoint = parseEndpoint(address);
  auto self = shared_from_this();
  if (!endpoint) {
    asio::post(Socket.get_executor(), [done] { done(false); });
    return;
  }
  MonoTime begun = monoNow();
  Timer.expires_after(timeout);
  Timer.async_wait([self](const boost::system::error_code &ec) {
    if (!ec)
      self->close();
  });
  Socket.async_connect(
      *endpoint, [self, done, begun](const boost::system::error_code &ec) {
        self->Timer.cancel();
        if (ec || !self->Socket.is_open()) {
          self->close();
          done(false);
          return;
        }
        boost::system::error_code ignored; // Options only tune the connection.
        self->Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        int ms = UnackedMs;
        setsockopt(self->Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &ms, sizeof ms);
        self->ConnectTime = monoNow() - begun;
        self->Open = true;
        self->readMore();
        done(true);
      });
}

void HttpConnection::start(Exchange exchange) {
  auto self = shared_from_this();
  Current = std::move(exchange);
  Busy = true;
  Writing = true;
  std::uint64_t serial = ++Serial;
  Reader.emplace(HttpReader::Kind::Response, MaxResponseHead, MaxBodyBytes);
  if (Current.IsHead)
    Reader->expectNoBody();
  Timer.expires_after(Current.Timeout);
  Timer.async_wait([self, serial](const boost::system::error_code &ec) {
    if (!ec && self->Serial == serial && self->Busy)
      self->finish(ExchangeEnd::TimedOut);
  });
  std::array<asio::const_buffer, 2> parts = {
      asio::buffer(*Current.Head),
      Current.Body ? asio::buffer(*Current.Body) : asio::const_buffer()};
  auto head = Current.Head;
  auto body = Current.Body;
  asio::async_write(Socket, parts,
                    [self, serial, head,
                     body](const boost::system::error_code &ec, std::size_t) {
                      if (self->Serial != serial)
                        return;
                      self->Writing = false;
                      // The response may already have come; the reader sees
                      // the end of the connection.
                      if (ec)
                        self->Open = false;
                    });
}

void HttpConnection::close() {
  Open = false;
  Busy = false;
  ++Serial;
  Current = Exchange();
  Timer.cancel();
  boost::system::error_code ignored; // The socket is given up either way.
  Socket.close(ignored);
}

void HttpConnection::readMore() {
  if (Reading || !Socket.is_open())
    return;
  Reading = true;
  auto self = shared_from_this();
  Socket.async_read_some(
      asio::buffer(Chunk),
      [self](const boost::system::error_code &ec, std::size_t n) {
        self->Reading = false;
        self->onRead(ec, n);
      });
}

void HttpConnection::onRead(const boost::system::error_code &ec,
                            std::size_t n) {
  Buffer.append(Chunk.data(), n);
  if (!Busy) {
    // Nothing is due on an idle connection; it has ended or carries bytes that
    // belong to no request.
    close();
    return;
  }
  if (ec && ec != asio::error::eof) {
    finish(ExchangeEnd::Broken);
    return;
  }
  readResponse(ec == asio::error::eof);
}

void HttpConnection::readResponse(bool ended) {
  while (true) {
    ReadState state = Reader->read(Buffer);
    if (state == ReadState::NeedMore && ended)
      state = Reader->started() ? Reader->readEnd() : ReadState::Invalid;
    if (state == ReadState::Invalid) {
      finish(ExchangeEnd::Broken);
      return;
    }
    if (state == ReadState::NeedMore) {
      readMore();
      return;
    }
    HttpMessage &message = Reader->message();
    bool interim = message.Status >= 100 && message.Status < 200;
    if (!interim &&
        (!Current.Match || Current.Match(message) == ResponseMatch::Wanted)) {
      if (ended)
        message.KeepAlive = false;
      finish(ExchangeEnd::Answered);
      return;
    }
    if (!interim && !message.KeepAlive) {
      finish(ExchangeEnd::Broken);
      return;
    }
    Reader.emplace(HttpReader::Kind::Response, MaxResponseHead, MaxBodyBytes);
    if (Current.IsHead)
      Reader->expectNoBody();
  }
}

void HttpConnection::finish(ExchangeEnd end) {
  auto self = shared_from_this();
  auto done = std::move(Current.Done);
  HttpMessage message;
  if (end == ExchangeEnd::Answered)
    message = std::move(Reader->message());
  Busy = false;
  ++Exchanges;
  IdleSince = monoNow();
  Timer.cancel();
  // Bytes after the response, or an unsent rest of the request, make the
  // connection unusable.
  if (end != ExchangeEnd::Answered || !message.KeepAlive || Writing || !Open ||
      !Buffer.empty()) {
    close();
  } else {
    KeepAliveFor = keepAliveSpan(message);
    ++Serial;
    Current = Exchange();
    readMore();
  }
  if (done)
    done(end, message);
}

} // namespace savorylb
