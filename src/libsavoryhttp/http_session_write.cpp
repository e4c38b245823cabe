#include "http_session.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Time for a client to read the last response before the socket closes.
constexpr Duration LingerTime = Millis(500);

} // namespace

/// Sends `100 Continue` if the request has an Expect field.
void HttpServer::Session::sendContinue() {
  // Behind earlier requests, it would be taken as part of their responses.
  if (ContinueSent || !Pending.empty() || Writing ||
      !findField(Reader->message(), "Expect"))
    return;
  ContinueSent = true;
  Writing = true;
  auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
  auto self = shared_from_this();
  asio::async_write(
      Socket, asio::buffer(*text),
      [self, text](const boost::system::error_code &ec, std::size_t) {
        self->Writing = false;
        if (ec)
          self->close(ClosedBy::Client);
        else
          self->writeNext();
      });
}

HttpServer::Session::PendingResponse *
HttpServer::Session::find(const std::shared_ptr<ServedRequest> &request) {
  if (!request)
    return nullptr;
  auto it = std::find_if(
      Pending.begin(), Pending.end(),
      [&](const PendingResponse &entry) { return entry.Request == request; });
  return it == Pending.end() ? nullptr : &*it;
}

void HttpServer::Session::respond(const std::shared_ptr<ServedRequest> &request,
                                  HttpMessage response) {
  PendingResponse *entry = find(request);
  if (!entry)
    return;
  --Server.InFlight;
  entry->Request.reset();
  WaitingBytes += response.Body.size();
  entry->Response = std::move(response);
  if (Server.ReleasingResponses)
    releaseResponses();
  writeNext();
}

void HttpServer::Session::releaseResponses() {
  // A rejection by the server can wait until all requests are broken off.
  auto last = std::find_if(Pending.rbegin(), Pending.rend(),
                           [](const PendingResponse &entry) {
                             return entry.Response && !entry.Rejected;
                           });
  breakOff(static_cast<std::size_t>(Pending.rend() - last));
}

void HttpServer::Session::breakOffRequests() {
  breakOff(Pending.size());
  if (readerStarted())
    reject(503, StoppingReason);
}

void HttpServer::Session::breakOff(std::size_t n) {
  // Responding can close the connection, which clears Pending.
  std::vector<std::shared_ptr<ServedRequest>> requests;
  for (std::size_t i = 0; i < n; ++i)
    if (Pending[i].Request && !Pending[i].Aborted)
      requests.push_back(Pending[i].Request);
  for (const auto &it : requests) {
    auto onBreakOff = std::move(it->OnBreakOff);
    it->OnBreakOff = nullptr;
    if (onBreakOff)
      onBreakOff();
  }
}

void HttpServer::Session::abort(const std::shared_ptr<ServedRequest> &request) {
  PendingResponse *entry = find(request);
  if (!entry)
    return;
  entry->Aborted = true;
  writeNext();
}

void HttpServer::Session::writeNext() {
  if (Closed || Writing || Lingering || Pending.empty())
    return;
  PendingResponse &next = Pending.front();
  if (next.Aborted) {
    close(ClosedBy::Server);
    return;
  }
  if (!next.Response)
    return;
  bool last = Server.Draining && Pending.size() == 1;
  write(std::move(*next.Response), last || next.ClosesConnection,
        next.IsHeadRequest);
}

void HttpServer::Session::write(HttpMessage response, bool close,
                                bool isHeadRequest) {
  Writing = true;
  LastRequestTaken |= close;
  WaitingBytes -= std::min(WaitingBytes, response.Body.size());
  removeHopByHopFields(response);
  auto head = std::make_shared<std::string>(
      responseHead(response, close, isHeadRequest));
  auto body = std::make_shared<std::string>(
      isHeadRequest ? std::string() : std::move(response.Body));
  std::array<asio::const_buffer, 2> parts = {asio::buffer(*head),
                                             asio::buffer(*body)};
  auto self = shared_from_this();
  // The body stays charged to its budget until it is written.
  auto memory = response.Memory;
  // Called before each partial write.
  auto restartTimer = [self](const boost::system::error_code &ec,
                             std::size_t n) {
    if (!ec && !self->Closed)
      self->setWriteTimer(self->Server.Limits.WriteTimeout);
    return asio::transfer_all()(ec, n);
  };
  asio::async_write(Socket, parts, restartTimer,
                    [self, head, body, memory,
                     close](const boost::system::error_code &ec, std::size_t) {
                      self->onWritten(ec, close);
                    });
}

void HttpServer::Session::onWritten(const boost::system::error_code &ec,
                                    bool close) {
  if (Closed)
    return;
  if (ec) {
    this->close(ClosedBy::Client);
    return;
  }
  Writing = false;
  ++WriteTimerGeneration;
  WriteTimer.cancel();
  Pending.pop_front();
  if (close) {
    linger();
    return;
  }
  if (idle())
    becomeIdle();
  advance();
}

void HttpServer::Session::linger() {
  // Closing a socket with unread bytes sends a reset, which can discard the
  // response before the client has read it.
  Lingering = true;
  cancelReadTimer();
  Held.reset();
  Reader.reset();
  boost::system::error_code ignored; // Closed by the timer in any case.
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  setWriteTimer(LingerTime);
  readMore();
}

} // namespace savorylb
