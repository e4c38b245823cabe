#include "http_session.h"

#include "savorylb/clock.h"
#include "savorylb/metrics.h"
#include "socket_read.h"

namespace savorylb {
namespace {

/// Buffered bytes of further requests at which reading pauses.
constexpr std::size_t MaxBufferedBytes = 65'536;
/// Resolution of the arrival times of buffered requests; bounds their number.
constexpr Duration ReadMarkInterval = Millis(10);

} // namespace

HttpServer::Session::Session(HttpServer &server, asio::ip::tcp::socket socket)
    : Server(server), Socket(std::move(socket)), ReadTimer(server.Io),
      WriteTimer(server.Io) {}

void HttpServer::Session::start() {
  boost::system::error_code ignored; // The option is not essential.
  Socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Socket.non_blocking(true, ignored); // Cannot fail when open.
  becomeIdle();
  readMore();
}

bool HttpServer::Session::idle() const {
  return Pending.empty() && !Held && !Writing && !Lingering && Buffer.empty() &&
         !readerStarted();
}

void HttpServer::Session::close(ClosedBy by) {
  if (Closed)
    return;
  Closed = true;
  cancelReadTimer();
  ++WriteTimerGeneration;
  WriteTimer.cancel();
  boost::system::error_code ignored; // The socket is discarded in any case.
  Socket.close(ignored);
  auto self = shared_from_this();
  Server.Sessions.erase(self);
  Held.reset();
  Reader.reset();
  auto pending = std::move(Pending);
  Pending.clear();
  for (PendingResponse &it : pending) {
    if (!it.Request) {
      if (!it.Aborted)
        incrementCounter("responses_not_sent");
      continue;
    }
    --Server.InFlight;
    it.Request->ClosedByServer = by == ClosedBy::Server;
    // The handler's owner usually owns the request as well; both are released
    // with the local copy.
    auto onClose = std::move(it.Request->OnClose);
    it.Request->OnClose = nullptr;
    if (onClose)
      onClose();
  }
}

void HttpServer::Session::becomeIdle() {
  IdleSince = monoNow();
  Buffer = std::string(); // Frees its capacity.
  setReadTimer(Server.Limits.IdleTimeout);
}

bool HttpServer::Session::isConcurrent(const HttpMessage &request) const {
  return Server.IsConcurrent && Server.IsConcurrent(request);
}

bool HttpServer::Session::mayParse() const {
  if (Closed || Lingering || Held || LastRequestTaken)
    return false;
  return Pending.size() < Server.Limits.MaxOutstanding &&
         WaitingBytes < Server.Limits.MaxWaitingBytes;
}

bool HttpServer::Session::mayServe(const HttpMessage &request) const {
  if (Pending.empty())
    return true;
  if (Server.Draining || !isConcurrent(request))
    return false;
  // A request that is not concurrent is served only as the first one.
  const std::shared_ptr<ServedRequest> &oldest = Pending.front().Request;
  return !oldest || isConcurrent(oldest->Message);
}

void HttpServer::Session::advance() {
  if (Held) {
    HttpMessage message = std::move(*Held);
    Held.reset();
    take(std::move(message));
  }
  while ((readerStarted() || !Buffer.empty()) && mayParse() && parseRequest()) {
  }
  writeNext();
  readMore();
}

/// \returns when the first byte of the buffer was read.
MonoTime HttpServer::Session::arrivalOfBuffer() {
  std::uint64_t offset = BytesRead - Buffer.size();
  while (ReadMarks.size() > 1 && ReadMarks[1].Offset <= offset)
    ReadMarks.pop_front();
  return ReadMarks.empty() ? monoNow() : ReadMarks.front().At;
}

bool HttpServer::Session::parseRequest() {
  bool first = !readerStarted();
  if (first) {
    ArrivedAt = arrivalOfBuffer();
    ContinueSent = false;
    Reader.emplace(HttpReader::Kind::Request, Server.Limits.MaxHeaderBytes,
                   Server.Limits.MaxBodyBytes, Server.BodyBudget);
  }
  switch (Reader->read(Buffer)) {
  case ReadState::Invalid:
    rejectInvalid();
    return false;
  case ReadState::NeedMore:
    onIncompleteRequest(first);
    return false;
  case ReadState::Complete:
    break;
  }
  cancelReadTimer();
  HttpMessage message = std::move(Reader->message());
  Reader.reset();
  take(std::move(message));
  return !Held;
}

void HttpServer::Session::take(HttpMessage message) {
  if (mayServe(message))
    serve(std::move(message));
  else if (Server.Draining)
    rejectAtStop(message);
  else
    Held = std::move(message);
}

void HttpServer::Session::onIncompleteRequest(bool first) {
  if (Reader->headComplete()) {
    setReadTimer(Server.Limits.IdleTimeout);
    sendContinue();
  } else if (first && readerStarted()) {
    setReadTimer(Server.Limits.HeaderTimeout);
  }
}

void HttpServer::Session::rejectAtStop(const HttpMessage &request) {
  incrementCounter("requests_rejected_at_stop");
  LastRequestTaken |= !request.KeepAlive;
  PendingResponse entry;
  entry.Response = Server.Reject(503, StoppingReason);
  entry.Rejected = true;
  entry.ClosesConnection = !request.KeepAlive;
  entry.IsHeadRequest = request.Method == "HEAD";
  WaitingBytes += entry.Response->Body.size();
  Pending.push_back(std::move(entry));
}

void HttpServer::Session::rejectInvalid() {
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
}

void HttpServer::Session::reject(int status, const char *reason) {
  Reader.reset(); // Releases the part of the body that was read.
  cancelReadTimer();
  LastRequestTaken = true;
  PendingResponse entry;
  entry.Response = Server.Reject(status, reason);
  entry.Rejected = true;
  entry.ClosesConnection = true;
  Pending.push_back(std::move(entry));
  writeNext();
}

void HttpServer::Session::closeAfterResponses() {
  Reader.reset();
  cancelReadTimer();
  LastRequestTaken = true;
  PendingResponse entry;
  entry.Aborted = true;
  Pending.push_back(std::move(entry));
  writeNext();
}

void HttpServer::Session::serve(HttpMessage message) {
  ++Server.InFlight;
  auto request = std::make_shared<ServedRequest>();
  request->Message = std::move(message);
  request->ArrivedAt = ArrivedAt;
  std::weak_ptr<Session> weakSession = shared_from_this();
  std::weak_ptr<ServedRequest> weakRequest = request;
  request->Respond = [weakSession, weakRequest](HttpMessage response) {
    if (auto self = weakSession.lock())
      self->respond(weakRequest.lock(), std::move(response));
  };
  request->Abort = [weakSession, weakRequest] {
    if (auto self = weakSession.lock())
      self->abort(weakRequest.lock());
  };
  LastRequestTaken |= !request->Message.KeepAlive;
  PendingResponse entry;
  entry.Request = request;
  entry.ClosesConnection = !request->Message.KeepAlive;
  entry.IsHeadRequest = request->Message.Method == "HEAD";
  Pending.push_back(std::move(entry));
  // The handler may respond synchronously.
  Server.Handle(request);
}

void HttpServer::Session::readMore() {
  if (Reading || Closed || Buffer.size() > MaxBufferedBytes)
    return;
  Reading = true;
  auto self = shared_from_this();
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [self](const boost::system::error_code &ec) {
                      self->Reading = false;
                      self->onReadable(ec);
                    });
}

void HttpServer::Session::onReadable(boost::system::error_code ec) {
  if (Closed)
    return;
  std::size_t buffered = Buffer.size();
  if (!ec)
    ec = readAvailable(Socket, Buffer);
  if (ec == asio::error::would_block) {
    readMore();
    return;
  }
  if (ec) {
    close(ClosedBy::Client);
    return;
  }
  if (Lingering) {
    Buffer.clear();
    readMore();
    return;
  }
  MonoTime now = monoNow();
  if (ReadMarks.empty() || now - ReadMarks.back().At >= ReadMarkInterval)
    ReadMarks.push_back({BytesRead, now});
  BytesRead += Buffer.size() - buffered;
  advance();
}

void HttpServer::Session::setTimer(asio::steady_timer &timer,
                                   std::uint64_t &generation, Duration span,
                                   void (Session::*onExpiry)()) {
  auto self = shared_from_this();
  // The handler of an expired timer may be queued already and then runs without
  // an error.
  std::uint64_t current = ++generation;
  timer.expires_after(span);
  timer.async_wait([self, current, &generation,
                    onExpiry](const boost::system::error_code &ec) {
    if (!ec && current == generation)
      (*self.*onExpiry)();
  });
}

void HttpServer::Session::setReadTimer(Duration span) {
  setTimer(ReadTimer, ReadTimerGeneration, span, &Session::onReadTimer);
}

void HttpServer::Session::cancelReadTimer() {
  ++ReadTimerGeneration;
  ReadTimer.cancel();
}

void HttpServer::Session::setWriteTimer(Duration span) {
  setTimer(WriteTimer, WriteTimerGeneration, span, &Session::onWriteTimer);
}

void HttpServer::Session::onReadTimer() {
  if (idle()) {
    Duration left = Server.Limits.IdleTimeout - (monoNow() - IdleSince);
    // The timeout may have been raised after the timer was set.
    if (left > Duration::zero())
      setReadTimer(left);
    else
      close(ClosedBy::Server);
    return;
  }
  if (!readerStarted())
    return;
  if (Reader->headComplete())
    closeAfterResponses();
  else
    reject(408, "header-timeout");
}

} // namespace savorylb
