#include "http_server.h"

#include "http_connection.h"
#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <optional>

namespace savorylb {
namespace {

constexpr std::size_t ReadBufferBytes = 16'384;
/// Buffered bytes of pipelined requests at which reading pauses.
constexpr std::size_t MaxPipelinedBytes = 65'536;
/// Time for a client to read the last response before the socket closes.
constexpr Duration LingerTime = Millis(500);
/// Delay after a failed accept call, until file descriptors become available.
constexpr Duration AcceptRetryDelay = Millis(50);

} // namespace

class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
  enum class ClosedBy { Client, Server };

  Session(HttpServer &server, asio::ip::tcp::socket socket)
      : Server(server), Socket(std::move(socket)), Timer(server.Io),
        ReadBuffer(ReadBufferBytes, 0) {}

  void start() {
    boost::system::error_code ignored; // The option is not essential.
    Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    nextRequest();
  }

  bool idle() const {
    return !Busy && !Writing && !Lingering && Buffer.empty() &&
           !readerStarted();
  }

  void close(ClosedBy by) {
    if (Closed)
      return;
    Closed = true;
    if (Writing)
      incrementCounter("responses_not_sent");
    cancelTimer();
    boost::system::error_code ignored; // The socket is discarded in any case.
    Socket.close(ignored);
    auto self = shared_from_this();
    Server.Sessions.erase(self);
    abandonRequest(by);
  }

private:
  bool readerStarted() const { return Reader && Reader->started(); }

  void abandonRequest(ClosedBy by) {
    if (!Busy)
      return;
    Busy = false;
    --Server.InFlight;
    auto request = std::move(Request);
    Request.reset();
    if (!request || !request->OnClose)
      return;
    request->ClosedByServer = by == ClosedBy::Server;
    // The handler's owner usually owns the request as well; both are released
    // with the local copy.
    auto onClose = std::move(request->OnClose);
    request->OnClose = nullptr;
    onClose();
  }

  void setTimer(Duration span) {
    auto self = shared_from_this();
    std::uint64_t generation = ++TimerGeneration;
    Timer.expires_after(span);
    Timer.async_wait([self, generation](const boost::system::error_code &ec) {
      if (!ec && generation == self->TimerGeneration)
        self->onTimer();
    });
  }

  void cancelTimer() {
    // The handler of an expired timer may be queued already and then runs
    // without an error.
    ++TimerGeneration;
    Timer.cancel();
  }

  void onTimer() {
    Duration idleFor = monoNow() - ArrivedAt;
    if (idle() && idleFor < Server.Limits.IdleTimeout) {
      // The timeout was raised after the timer had been set.
      setTimer(Server.Limits.IdleTimeout - idleFor);
      return;
    }
    bool inHead = readerStarted() && !Reader->headComplete();
    if (inHead && !Busy && !Writing && !Lingering)
      reject(408, "header-timeout");
    else
      close(ClosedBy::Server);
  }

  void nextRequest() {
    Reader.reset();
    ContinueSent = false;
    ArrivedAt = monoNow();
    setTimer(Server.Limits.IdleTimeout);
    parse();
  }

  void parse() {
    bool first = !readerStarted();
    if (first)
      Reader.emplace(HttpReader::Kind::Request, Server.Limits.MaxHeaderBytes,
                     Server.Limits.MaxBodyBytes, Server.BodyBudget);
    ReadState state = Reader->read(Buffer);
    if (first && readerStarted()) {
      ArrivedAt = monoNow();
      if (!Reader->headComplete())
        setTimer(Server.Limits.HeaderTimeout);
    }
    if (state == ReadState::Invalid) {
      rejectInvalid();
      return;
    }
    if (state == ReadState::Complete) {
      serve();
      return;
    }
    if (Reader->headComplete()) {
      setTimer(Server.Limits.IdleTimeout);
      sendContinue();
    }
    readMore();
  }

  void rejectInvalid() {
    switch (Reader->error()) {
    case ReadError::HeaderTooLarge:
      reject(431, "header-too-large");
      break;
    case ReadError::BodyTooLarge:
      reject(413, "body-too-large");
      break;
    case ReadError::NoMemory:
      reject(503, "body-memory");
      break;
    default:
      reject(400, "malformed");
      break;
    }
    Reader.reset(); // Releases the part of the body that was read.
  }

  /// Sends `100 Continue` if the request has an Expect field.
  void sendContinue() {
    const std::string *expect = findField(Reader->message(), "Expect");
    if (ContinueSent || !expect)
      return;
    ContinueSent = true;
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    auto self = shared_from_this();
    asio::async_write(
        Socket, asio::buffer(*text),
        [self, text](const boost::system::error_code &ec, std::size_t) {
          if (ec)
            self->close(ClosedBy::Client);
        });
  }

  void readMore() {
    if (Reading || Closed || Buffer.size() > MaxPipelinedBytes)
      return;
    Reading = true;
    auto self = shared_from_this();
    Socket.async_read_some(
        asio::buffer(ReadBuffer),
        [self](const boost::system::error_code &ec, std::size_t n) {
          self->Reading = false;
          self->onRead(ec, n);
        });
  }

  void onRead(const boost::system::error_code &ec, std::size_t n) {
    if (Closed)
      return;
    if (ec) {
      close(ClosedBy::Client);
      return;
    }
    if (Lingering) {
      readMore();
      return;
    }
    Buffer.append(ReadBuffer.data(), n);
    if (Busy || Writing)
      readMore();
    else
      parse();
  }

  void serve() {
    cancelTimer();
    Busy = true;
    ++Server.InFlight;
    Request = std::make_shared<ServedRequest>();
    Request->Message = std::move(Reader->message());
    Request->ArrivedAt = ArrivedAt;
    std::weak_ptr<Session> weakSession = shared_from_this();
    std::weak_ptr<ServedRequest> weakRequest = Request;
    Request->Respond = [weakSession, weakRequest](HttpMessage response) {
      auto self = weakSession.lock();
      if (self && self->Busy && self->Request == weakRequest.lock())
        self->respond(std::move(response));
    };
    Request->Abort = [weakSession, weakRequest] {
      auto self = weakSession.lock();
      if (self && self->Busy && self->Request == weakRequest.lock())
        self->close(ClosedBy::Server);
    };
    readMore();
    // The handler may respond synchronously, which resets the member.
    auto request = Request;
    Server.Handle(request);
  }

  void respond(HttpMessage response) {
    auto request = std::move(Request);
    Request.reset();
    Busy = false;
    --Server.InFlight;
    // A request that has been read already is still served.
    bool lastRequest = Server.Draining && Buffer.empty();
    bool closeAfter = lastRequest || !request->Message.KeepAlive;
    send(std::move(response), closeAfter, request->Message.Method == "HEAD");
  }

  void reject(int status, const char *reason) {
    send(Server.Reject(status, reason), true, false);
  }

  void send(HttpMessage response, bool closeAfter, bool headRequest) {
    if (Closed)
      return;
    Writing = true;
    removeHopByHopFields(response);
    auto head = std::make_shared<std::string>(
        responseHead(response, closeAfter, headRequest));
    auto body = std::make_shared<std::string>(
        headRequest ? std::string() : std::move(response.Body));
    std::array<asio::const_buffer, 2> parts = {asio::buffer(*head),
                                               asio::buffer(*body)};
    auto self = shared_from_this();
    // The body stays charged to its budget until it is written.
    auto memory = response.Memory;
    // Called before each partial write.
    auto restartTimer = [self](const boost::system::error_code &ec,
                               std::size_t n) {
      if (!ec && !self->Closed)
        self->setTimer(self->Server.Limits.WriteTimeout);
      return asio::transfer_all()(ec, n);
    };
    asio::async_write(Socket, parts, restartTimer,
                      [self, head, body, memory, closeAfter](
                          const boost::system::error_code &ec, std::size_t) {
                        self->onSent(ec, closeAfter);
                      });
  }

  void onSent(const boost::system::error_code &ec, bool closeAfter) {
    if (Closed)
      return;
    if (ec) {
      close(ClosedBy::Client);
      return;
    }
    Writing = false;
    if (closeAfter) {
      // Closing a socket with unread bytes sends a reset, which can discard
      // the response before the client has read it.
      Lingering = true;
      boost::system::error_code ignored; // Closed by the timer in any case.
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
  std::string ReadBuffer;
  std::optional<HttpReader> Reader;
  std::shared_ptr<ServedRequest> Request;
  /// Time of the first byte of the current request; while the connection is
  /// idle, the time since when it is.
  MonoTime ArrivedAt{};
  /// Incremented when the timer is set or cancelled.
  std::uint64_t TimerGeneration = 0;
  bool Busy = false;
  bool Reading = false;
  bool Writing = false;
  bool Lingering = false;
  bool ContinueSent = false;
  bool Closed = false;
};

HttpServer::HttpServer(asio::io_context &io, Handler handler,
                       RejectionHandler rejection)
    : Io(io), Acceptor(io), AcceptRetryTimer(io), Handle(std::move(handler)),
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
      AcceptRetryTimer.expires_after(AcceptRetryDelay);
      AcceptRetryTimer.async_wait(
          [this](const boost::system::error_code &wait) {
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
  boost::system::error_code ignored; // The process is shutting down.
  Acceptor.close(ignored);
  std::vector<std::shared_ptr<Session>> idle;
  for (const auto &it : Sessions)
    if (it->idle())
      idle.push_back(it);
  for (const auto &it : idle)
    it->close(Session::ClosedBy::Server);
}

} // namespace savorylb
