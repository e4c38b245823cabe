#include "savorylb/target_client_http.h"

#include "connection_pool.h"
#include "limited_socket.h"
#include "response_reader.h"
#include "savorylb/clock.h"
#include "silence_check.h"
#include "target_probe.h"
#include "url.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <poll.h>

namespace savorylb {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;

constexpr Duration MaxConnectTime = Seconds(1);
/// How often a waiting request checks whether its caller has disconnected.
constexpr Duration CancelPollInterval = Millis(20);
/// How long to wait for a target to confirm that it stopped an abandoned
/// request. After a timeout the caller is still waiting; a caller that
/// disconnected is not.
constexpr Duration ConfirmAfterTimeout = Millis(20);
constexpr Duration ConfirmAfterCancel = Millis(100);
constexpr std::size_t CopyBufferBytes = 65'536;

struct Attempt {
  ConnectionPool &Pool;
  const TargetRequest &Request;
  MonoTime Deadline;
  std::unique_ptr<HTTPClientSession> Session;
  MonoTime OpenedAt{};
  bool Reused = false;
  TargetResponse Response;
};

Duration remaining(const Attempt &attempt) {
  return std::max(Duration(0), attempt.Deadline - monoNow());
}

void applyTimeout(Attempt &attempt) {
  Poco::Timespan left(std::max<std::int64_t>(1000, remaining(attempt).count()));
  // The timeouts of the session do not apply to a socket that is already open.
  attempt.Session->socket().setSendTimeout(left);
  attempt.Session->socket().setReceiveTimeout(left);
  setReadDeadline(attempt.Session->socket(), attempt.Deadline);
}

/// Takes an idle connection from the pool or opens a new one.
/// \returns false, with outcome and reason set, when connecting failed.
bool openConnection(Attempt &attempt) {
  const TargetRequest &request = attempt.Request;
  attempt.OpenedAt = monoNow();
  if (!request.NewConnection) {
    IdleConnection idle =
        takeIdle(attempt.Pool, request.Address, attempt.OpenedAt);
    if (idle.Session) {
      attempt.Session = std::move(idle.Session);
      attempt.OpenedAt = idle.OpenedAt;
      attempt.Reused = true;
      return true;
    }
  }
  UrlParts target = splitUrl(request.Address);
  attempt.Session =
      std::make_unique<HTTPClientSession>(target.Host, target.Port);
  Duration limit = std::min(MaxConnectTime, remaining(attempt));
  try {
    Poco::Net::StreamSocket socket(new LimitedSocketImpl);
    socket.connect(Poco::Net::SocketAddress(target.Host, target.Port),
                   Poco::Timespan(limit.count()));
    socket.setNoDelay(true);
    attempt.Session = std::make_unique<HTTPClientSession>(socket);
    attempt.Session->setKeepAlive(true);
    return true;
  } catch (const Poco::Exception &) {
    attempt.Response.Outcome = TargetOutcome::NotRun;
    attempt.Response.Reason = "connect";
    return false;
  }
}

HTTPRequest makeRequest(const TargetRequest &request, Duration left) {
  HTTPRequest out(request.Method, request.Path, HTTPRequest::HTTP_1_1);
  out.setHost(request.Address);
  out.setKeepAlive(true);
  for (const auto &[name, value] : request.Headers)
    out.add(name, value);
  auto ms = std::chrono::duration_cast<Millis>(left).count();
  out.set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, ms)));
  out.set("X-Attempt-Nonce", request.Nonce);
  if (request.BodyLength >= 0)
    out.setContentLength64(request.BodyLength);
  else
    out.setChunkedTransferEncoding(true);
  return out;
}

/// Relays the request body to the target.
/// \returns false when it could not be sent completely.
bool sendBody(Attempt &attempt, std::ostream &out) {
  const TargetRequest &request = attempt.Request;
  if (!request.Body)
    return true;
  std::vector<char> buf(CopyBufferBytes);
  while (request.BodyLength < 0 ||
         attempt.Response.SentBytes < request.BodyLength) {
    std::int64_t want = CopyBufferBytes;
    if (request.BodyLength >= 0)
      want = std::min<std::int64_t>(want, request.BodyLength -
                                              attempt.Response.SentBytes);
    request.Body->read(buf.data(), want);
    std::streamsize n = request.Body->gcount();
    if (n <= 0)
      return request.BodyLength < 0 && request.Body->eof();
    out.write(buf.data(), n);
    if (!out.good())
      return false;
    attempt.Response.SentBytes += n;
    if (remaining(attempt) == Duration(0))
      return false;
  }
  return true;
}

enum class WaitResult { Readable, TimedOut, Cancelled, Unresponsive };

/// \param probeAt when to start checking; set to the deadline once an idle
/// connection at least as old responded.
/// \returns whether a repeatable request should abandon its reused connection
/// as unresponsive.
bool foundUnresponsive(Attempt &attempt, MonoTime &probeAt) {
  if (!attempt.Reused || !attempt.Request.Repeatable || monoNow() < probeAt)
    return false;
  const std::string &address = attempt.Request.Address;
  if (!isMarkedUnresponsive(attempt.Pool, address, attempt.OpenedAt) &&
      !remainsSuspectAfterProbe(attempt.Pool, address, attempt.OpenedAt)) {
    probeAt = attempt.Deadline;
    return false;
  }
  return !isReadable(*attempt.Session);
}

WaitResult waitForResponse(Attempt &attempt) {
  pollfd fd{};
  fd.fd = attempt.Session->socket().impl()->sockfd();
  fd.events = POLLIN;
  const std::string &address = attempt.Request.Address;
  MonoTime probeAt =
      monoNow() +
      std::max(MinUnresponsiveTime,
               longestResponseTime(attempt.Pool, address) * UnresponsiveFactor);
  while (true) {
    Duration left = remaining(attempt);
    if (left == Duration(0))
      return WaitResult::TimedOut;
    auto step =
        std::chrono::duration_cast<Millis>(std::min(left, CancelPollInterval));
    int ms = std::max<int>(1, static_cast<int>(step.count()));
    if (poll(&fd, 1, ms) > 0)
      return WaitResult::Readable;
    if (attempt.Request.Cancelled && attempt.Request.Cancelled())
      return WaitResult::Cancelled;
    if (foundUnresponsive(attempt, probeAt))
      return WaitResult::Unresponsive;
  }
}

void fail(Attempt &attempt, const char *reason) {
  attempt.Response.Outcome = TargetOutcome::Unknown;
  attempt.Response.Reason = reason;
}

void runAttempt(Attempt &attempt, const ResponseSink &sink) {
  applyTimeout(attempt);
  HTTPRequest request = makeRequest(attempt.Request, remaining(attempt));
  expectHead(attempt.Session->socket());
  std::ostream &out = attempt.Session->sendRequest(request);
  bool bodySent = sendBody(attempt, out);
  out.flush();
  if (!bodySent && !isReadable(*attempt.Session))
    return fail(attempt, "request-cut");
  switch (waitForResponse(attempt)) {
  case WaitResult::TimedOut:
    return fail(attempt, "timeout");
  case WaitResult::Cancelled:
    return fail(attempt, "cancelled");
  case WaitResult::Unresponsive:
    return fail(attempt, "silent");
  case WaitResult::Readable:
    break;
  }
  applyTimeout(attempt);
  readResponse(*attempt.Session, attempt.Request, attempt.Deadline, sink,
               attempt.Response);
  // When the response arrived before the body was sent completely, the request
  // on the connection is incomplete, so the connection cannot be reused.
  if (!bodySent)
    attempt.Session->reset();
}

/// Cancels an abandoned request by shutting down the sending side of its
/// connection, and waits briefly for the target to confirm by closing its side.
void cancelAtTarget(Attempt &attempt) {
  TargetResponse &response = attempt.Response;
  bool timedOut = response.Reason == "timeout";
  if (!timedOut && response.Reason != "cancelled" &&
      response.Reason != "caller-gone" && response.Reason != "request-cut" &&
      response.Reason != "silent")
    return;
  response.MayStillRun = true;
  // Once a response has started, readable data may be the rest of it and does
  // not confirm that the target stopped. An unresponsive connection delivers no
  // shutdown, so no confirmation can be expected.
  if (response.Reason == "silent" || response.Status != 0)
    return;
  try {
    attempt.Session->socket().shutdownSend();
    Duration limit = timedOut ? ConfirmAfterTimeout : ConfirmAfterCancel;
    response.MayStillRun = !attempt.Session->socket().poll(
        Poco::Timespan(limit.count()), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception &) {
    // The connection was lost before the target confirmed.
  }
}

TargetResponse sendToTarget(ConnectionPool &pool, const TargetRequest &request,
                            const ResponseSink &sink) {
  MonoTime start = monoNow();
  Attempt attempt{pool,  request, start + request.Remaining, nullptr, {},
                  false, {}};
  if (openConnection(attempt)) {
    try {
      runAttempt(attempt, sink);
    } catch (const Poco::TimeoutException &) {
      fail(attempt, "timeout");
    } catch (const std::exception &) {
      fail(attempt, receivedInvalidHead(attempt.Session->socket())
                        ? "malformed"
                        : "connection-lost");
    }
    cancelAtTarget(attempt);
    bool reusable =
        attempt.Response.Reason.empty() || attempt.Response.Reason == "shed";
    if (reusable && attempt.Session->connected() &&
        attempt.Session->getKeepAlive())
      returnConnection(pool, request.Address,
                       {std::move(attempt.Session), {}, attempt.OpenedAt},
                       monoNow());
  }
  attempt.Response.Took = monoNow() - start;
  if (attempt.Response.Outcome == TargetOutcome::Done)
    recordResponseTime(pool, request.Address, attempt.Response.Took);
  return std::move(attempt.Response);
}

} // namespace

TargetClient makeHttpTargetClient() {
  auto pool = std::make_shared<ConnectionPool>();
  TargetClient client;
  client.Send = [pool](const TargetRequest &request, const ResponseSink &sink) {
    return sendToTarget(*pool, request, sink);
  };
  client.ReadLoad = readTargetLoad;
  client.ProbeHealth = probeTargetHealth;
  return client;
}

} // namespace savorylb
