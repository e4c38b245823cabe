#include "savorylb/target_client_http.h"

#include "connection_pool.h"
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
/// How often a waiting request looks whether its caller has left.
constexpr Duration CancelPollInterval = Millis(20);
/// How long a target may take to show that it stopped a request. At a time-out
/// the caller waits for it; a caller who left does not.
constexpr Duration ConfirmTimeout = Millis(20);
constexpr Duration ConfirmCancel = Millis(100);
constexpr std::size_t CopyBuffer = 65'536;

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
  // The session's own time-outs do not reach a socket that is already open.
  attempt.Session->socket().setSendTimeout(left);
  attempt.Session->socket().setReceiveTimeout(left);
}

/// \returns false, with the reason set, when no connection came about.
bool openConnection(Attempt &attempt) {
  const TargetRequest &request = attempt.Request;
  attempt.OpenedAt = monoNow();
  if (!request.VerifiedConnection) {
    IdleConnection kept =
        takeIdle(attempt.Pool, request.Address, attempt.OpenedAt);
    if (kept.Session) {
      attempt.Session = std::move(kept.Session);
      attempt.OpenedAt = kept.OpenedAt;
      attempt.Reused = true;
      return true;
    }
  }
  HostPort target = splitUrl(request.Address);
  attempt.Session =
      std::make_unique<HTTPClientSession>(target.Host, target.Port);
  Duration limit = std::min(MaxConnectTime, remaining(attempt));
  try {
    Poco::Net::StreamSocket socket;
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

/// \returns false when the body could not be passed on whole.
bool sendBody(Attempt &attempt, std::ostream &out) {
  const TargetRequest &request = attempt.Request;
  if (!request.Body)
    return true;
  std::vector<char> buf(CopyBuffer);
  while (request.BodyLength < 0 ||
         attempt.Response.SentBytes < request.BodyLength) {
    std::int64_t want = CopyBuffer;
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

enum class WaitResult { Readable, TimedOut, Cancelled, Silent };

/// \returns whether a repeatable request should leave its kept connection.
bool foundSilent(Attempt &attempt, MonoTime &suspectAt) {
  if (!attempt.Reused || !attempt.Request.Repeatable || monoNow() < suspectAt)
    return false;
  const std::string &address = attempt.Request.Address;
  if (!isMarkedSilent(attempt.Pool, address, attempt.OpenedAt) &&
      !keptConnectionsSuspect(attempt.Pool, address, attempt.OpenedAt)) {
    suspectAt = attempt.Deadline;
    return false;
  }
  return !isReadable(*attempt.Session);
}

WaitResult waitForResponse(Attempt &attempt) {
  pollfd fd{};
  fd.fd = attempt.Session->socket().impl()->sockfd();
  fd.events = POLLIN;
  const std::string &address = attempt.Request.Address;
  MonoTime suspectAt =
      monoNow() +
      std::max(SilenceSuspicion,
               longestResponse(attempt.Pool, address) * SilenceFactor);
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
    if (foundSilent(attempt, suspectAt))
      return WaitResult::Silent;
  }
}

void fail(Attempt &attempt, const char *reason) {
  attempt.Response.Outcome = TargetOutcome::Unknown;
  attempt.Response.Reason = reason;
}

void runAttempt(Attempt &attempt, const ResponseSink &sink) {
  applyTimeout(attempt);
  HTTPRequest request = makeRequest(attempt.Request, remaining(attempt));
  std::ostream &out = attempt.Session->sendRequest(request);
  bool whole = sendBody(attempt, out);
  out.flush();
  if (!whole && !isReadable(*attempt.Session))
    return fail(attempt, "request-cut");
  switch (waitForResponse(attempt)) {
  case WaitResult::TimedOut:
    return fail(attempt, "timeout");
  case WaitResult::Cancelled:
    return fail(attempt, "cancelled");
  case WaitResult::Silent:
    return fail(attempt, "silent");
  case WaitResult::Readable:
    break;
  }
  applyTimeout(attempt);
  readResponse(*attempt.Session, attempt.Request, attempt.Deadline, sink,
               attempt.Response);
  // A response that came before the whole body was sent leaves the connection
  // in the middle of a request.
  if (!whole)
    attempt.Session->reset();
}

/// Ends a request that was left: closes its connection for sending, which
/// cancels it, and waits a little for the target to close its side.
void cancelAtTarget(Attempt &attempt) {
  TargetResponse &response = attempt.Response;
  bool timedOut = response.Reason == "timeout";
  if (!timedOut && response.Reason != "cancelled" &&
      response.Reason != "caller-gone" && response.Reason != "request-cut" &&
      response.Reason != "silent")
    return;
  response.MayStillRun = true;
  // After the head of a response, what comes next proves nothing.
  if (response.Reason == "silent" || response.Status != 0)
    return;
  try {
    attempt.Session->socket().shutdownSend();
    Duration limit = timedOut ? ConfirmTimeout : ConfirmCancel;
    response.MayStillRun = !attempt.Session->socket().poll(
        Poco::Timespan(limit.count()), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception &) {
    // The connection is gone without a word from the target.
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
      fail(attempt, "connection-lost");
    }
    cancelAtTarget(attempt);
    bool reusable =
        attempt.Response.Reason.empty() || attempt.Response.Reason == "shed";
    if (reusable && attempt.Session->connected() &&
        attempt.Session->getKeepAlive())
      keepIdle(pool, request.Address,
               {std::move(attempt.Session), {}, attempt.OpenedAt}, monoNow());
  }
  attempt.Response.Took = monoNow() - start;
  if (attempt.Response.Outcome == TargetOutcome::Done)
    noteResponseTime(pool, request.Address, attempt.Response.Took);
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
