#include "http_server.h"

#include "http_connection.h"
#include "savorylb/clock.h"

#include <optional>

namespace savorylb {
namespace {

constexpr std::size_t ReadChunk = 16'384;
/// Bytes of later requests that are kept while one waits for its response.
constexpr std::size_t MaxPipelined = 65'536;
/// A client that takes this long to read a response has gone.
constexpr Duration WriteTimeout = Seconds(10);
/// Time for a rejected client to read its response before the connection ends.
constexpr Duration LingerTime = Millis(500);
/// Pause after the accept call failed, for descriptors to come free.
constexpr Duration AcceptRetry = Millis(50);

} // namespace

class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(HttpServer &server, asio::ip::tcp::socket socket)
      : Server(server), Socket(std::move(socket)), Timer(server.Io),
        Chunk(ReadChunk, 0) {}

  void start() {
    boost::system::error_code ignored; // Only tunes the connection.
    Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    nextRequest();
  }

  bool idle() const { return !Busy && Buffer.empty() && !readerStarted(); }

  void close() {
    if (Closed)
      return;
    Closed = true;
    Timer.cancel();
    boost::system::error_code ignored; // The socket is given up either way.
    Socket.close(ignored);
    auto self = shared_from_this();
    Server.Sessions.erase(self);
    dropRequest();
  }

private:
  bool readerStarted() const { return Reader && Reader->started(); }

  void dropRequest() {
    if (!Busy)
      return;
    Busy = false;
    --Server.Waiting;
    auto request = std::move(Request);
    Request.reset();
    if (request && request->OnGone)
      request->OnGone();
  }

  void setTimer(Duration span) {
    auto self = shared_from_this();
    Timer.expires_after(span);
    Timer.async_wait([self](const boost::system::error_code &ec) {
      if (!ec)
        self->onTimer();
    });
  }

  void onTimer() {
    bool inHead = readerStarted() && !Reader->headComplete();
    if (inHead && !Busy && !Writing)
      reject(408, "header-timeout");
    else
      close();
  }

  void nextRequest() {
    Reader.emplace(HttpReader::Kind::Request, Server.Limits.MaxHeaderBytes,
                   Server.Limits.MaxBodyBytes);
    Continued = false;
    ArrivedAt = monoNow();
    setTimer(Server.Limits.IdleTimeout);
    parse();
  }

  void parse() {
    bool first = !readerStarted();
    ReadState state = Reader->read(Buffer);
    if (first && readerStarted()) {
      ArrivedAt = monoNow();
      if (!Reader->headComplete())
        setTimer(Server.Limits.HeaderTimeout);
    }
    if (state == ReadState::Invalid) {
      rejectFault();
      return;
    }
    if (state == ReadState::Complete) {
      serve();
      return;
    }
    if (Reader->headComplete()) {
      setTimer(Server.Limits.IdleTimeout);
      continueBody();
    }
    readMore();
  }

  void rejectFault() {
    switch (Reader->fault()) {
    case ReadFault::HeaderTooLarge:
      reject(431, "header-too-large");
      break;
    case ReadFault::BodyTooLarge:
      reject(413, "body-too-large");
      break;
    default:
      reject(400, "malformed");
      break;
    }
  }

  /// Answers a request that waits for leave to send its body.
  void continueBody() {
    const std::string *expect = findField(Reader->message(), "Expect");
    if (Continued || !expect)
      return;
    Continued = true;
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    auto self = shared_from_this();
    asio::async_write(
        Socket, asio::buffer(*text),
        [self, text](const boost::system::error_code &ec, std::size_t) {
          if (ec)
            self->close();
        });
  }

  void readMore() {
    if (Reading || Closed || Buffer.size() > MaxPipelined)
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

  void onRead(const boost::system::error_code &ec, std::size_t n) {
    if (Closed)
      return;
    if (ec) {
      close();
      return;
    }
    if (Lingering) {
      readMore();
      return;
    }
    Buffer.append(Chunk.data(), n);
    if (Busy || Writing)
      readMore();
    else
      parse();
  }

  void serve() {
    Timer.cancel();
    Busy = true;
    ++Server.Waiting;
    Request = std::make_shared<ServedRequest>();
    Request->Message = std::move(Reader->message());
    Request->ArrivedAt = ArrivedAt;
    std::weak_ptr<Session> weak = shared_from_this();
    std::weak_ptr<ServedRequest> which = Request;
    Request->Respond = [weak, which](HttpMessage response) {
      auto self = weak.lock();
      if (self && self->Busy && self->Request == which.lock())
        self->respond(std::move(response));
    };
    Request->Abort = [weak, which] {
      auto self = weak.lock();
      if (self && self->Busy && self->Request == which.lock())
        self->close();
    };
    readMore();
    // The handler may answer at once.
    auto request = Request;
    Server.Handle(request);
  }

  void respond(HttpMessage response) {
    auto request = std::move(Request);
    Request.reset();
    Busy = false;
    --Server.Waiting;
    bool end = Server.Draining || !request->Message.KeepAlive;
    send(std::move(response), end, request->Message.Method == "HEAD");
  }

  void reject(int status, const char *reason) {
    send(Server.Reject(status, reason), true, false);
  }

  void send(HttpMessage response, bool end, bool toHead) {
    if (Closed)
      return;
    Writing = true;
    removeConnectionFields(response);
    auto head =
        std::make_shared<std::string>(responseHead(response, end, toHead));
    auto body = std::make_shared<std::string>(
        toHead ? std::string() : std::move(response.Body));
    std::array<asio::const_buffer, 2> parts = {asio::buffer(*head),
                                               asio::buffer(*body)};
    setTimer(WriteTimeout);
    auto self = shared_from_this();
    asio::async_write(
        Socket, parts,
        [self, head, body, end](const boost::system::error_code &ec,
                                std::size_t) { self->onSent(ec, end); });
  }

  void onSent(const boost::system::error_code &ec, bool end) {
    if (Closed)
      return;
    Writing = false;
    if (ec) {
      close();
    } else if (end) {
      // Unread bytes would reset the connection before the client has read
      // the response.
      Lingering = true;
      boost::system::error_code ignored; // Closed after the pause in any case.
      Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      setTimer(LingerTime);
      readMore();
    } else {
      nextRequest();
    }
  }

  HttpServer &Server;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Buffer;
  std::string Chunk;
  std::optional<HttpReader> Reader;
  std::shared_ptr<ServedRequest> Request;
  MonoTime ArrivedAt{};
  bool Busy = false;
  bool Reading = false;
  bool Writing = false;
  bool Lingering = false;
  bool Continued = false;
  bool Closed = false;
};

HttpServer::HttpServer(asio::io_context &io, Handler handler,
                       Rejection rejection)
    : Io(io), Acceptor(io), AcceptPause(io), Handle(std::move(handler)),
      Reject(std::move(rejection)) {}

bool HttpServer::listen(const std::string &address) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return false;
  boost::system::error_code ec;
  Acceptor.open(endpoint->protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(*endpoint, ec);
  if (!ec)
    Acceptor.listen(1024, ec);
  if (ec)
    return false;
  acceptNext();
  return true;
}

void HttpServer::acceptNext() {
  Acceptor.async_accept([this](const boost::system::error_code &ec,
                               asio::ip::tcp::socket socket) {
    if (!Acceptor.is_open())
      return;
    if (ec) {
      AcceptPause.expires_after(AcceptRetry);
      AcceptPause.async_wait([this](const boost::system::error_code &wait) {
        if (!wait)
          acceptNext();
      });
      return;
    }
    auto session = std::make_shared<Session>(*this, std::move(socket));
    Sessions.insert(session);
    session->start();
    acceptNext();
  });
}

void HttpServer::closeIdle() {
  boost::system::error_code ignored; // The process is about to end.
  Acceptor.close(ignored);
  std::vector<std::shared_ptr<Session>> idle;
  for (const auto &it : Sessions)
    if (it->idle())
      idle.push_back(it);
  for (const auto &it : idle)
    it->close();
}

} // namespace savorylb
