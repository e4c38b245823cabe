#include "http_io.h"
#include "target.h"

#include <Poco/Checksum.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace Poco::Net;

namespace savorylb::standin {

namespace {

using Clock = SlotLimiter::Clock;

// Deadline of requests without an X-Deadline-Ms header.
constexpr std::int64_t DefaultDeadlineMs = 60'000;
// Interval between checks whether the peer has closed a silenced connection.
constexpr std::int64_t ClosePollMicros = 1'000'000;

std::int64_t microsUntil(Clock::time_point t) {
  return std::chrono::duration_cast<std::chrono::microseconds>(t - Clock::now())
      .count();
}

} // namespace

/// A request and the results of its processing so far.
struct Target::RequestContext {
  HTTPServerRequest &Req;
  HTTPServerResponse &Resp;
  int Fd;
  std::string Path;
  std::string Key;
  Clock::time_point Deadline;
  std::int64_t BodyBytes = 0;
  std::string BodyChecksum;
  /// Number of executions of the idempotency key on all targets; for a request
  /// without one, of all requests on this target.
  std::uint64_t ExecutionCount = 0;

  /// Reads the body.
  /// \returns false when it is incomplete or the deadline has passed.
  bool readBody() {
    Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
    bool chunked = Req.getChunkedTransferEncoding();
    auto &socket = static_cast<HTTPServerRequestImpl &>(Req).socket();
    auto previousTimeout = socket.getReceiveTimeout();
    char buf[16384];
    if (chunked || Req.hasContentLength()) {
      auto &in = Req.stream();
      while (true) {
        auto left = microsUntil(Deadline);
        if (left <= 0)
          return false;
        socket.setReceiveTimeout(Poco::Timespan(left));
        in.read(buf, sizeof buf);
        if (in.gcount() <= 0)
          break;
        sum.update(buf, static_cast<unsigned>(in.gcount()));
        BodyBytes += in.gcount();
      }
      socket.setReceiveTimeout(previousTimeout);
    }
    BodyChecksum = Poco::NumberFormatter::formatHex(sum.checksum(), 8);
    return chunked || !Req.hasContentLength() ||
           BodyBytes == Req.getContentLength64();
  }
};

bool Target::holdIfSilenced(RequestContext &ctx) {
  if (!Epochs->isSilenced(ctx.Req.clientAddress().toString()))
    return false;
  count("silent");
  while (!waitForClose(ctx.Fd, ClosePollMicros)) {
  }
  dropConnection(ctx.Req, ctx.Resp);
  return true;
}

void Target::sendNotRun(RequestContext &ctx, const std::string &reason) {
  // An unread body would be parsed as the next request.
  if (ctx.Req.hasContentLength() || ctx.Req.getChunkedTransferEncoding())
    if (ctx.BodyChecksum.empty() && !ctx.readBody())
      return dropConnection(ctx.Req, ctx.Resp);
  OutgoingResponse resp;
  resp.Status = 503;
  resp.Outcome = "not-run";
  resp.Reason = reason;
  resp.Nonce = ctx.Req.get("X-Attempt-Nonce", "");
  resp.Body = "{\"outcome\":\"not-run\",\"reason\":\"" + reason + "\"}";
  send(ctx, resp);
}

void Target::handleRequest(HTTPServerRequest &req, HTTPServerResponse &resp) {
  auto ms = Poco::NumberParser::parse64(
      req.get("X-Deadline-Ms", std::to_string(DefaultDeadlineMs)));
  RequestContext ctx{req,
                     resp,
                     descriptorOf(req),
                     pathOf(req),
                     req.get("Idempotency-Key", ""),
                     Clock::now() + std::chrono::milliseconds(ms),
                     0,
                     "",
                     0};
  auto peer = req.clientAddress().toString();
  // A connection accepted within the last second may have been silenced after
  // the sender had chosen it.
  if (!ctx.Key.empty() && Epochs->isSilenced(peer) &&
      Epochs->age(peer) > std::chrono::seconds(1))
    count("once_on_silent");
  if (holdIfSilenced(ctx))
    return;
  if (ctx.Path == "/health")
    return sendHealth(resp);
  if (ctx.Path == "/load")
    return sendLoad(resp);
  countRequest(req);
  if (faults().Shed) {
    count("shed");
    return sendNotRun(ctx, "shed");
  }
  auto result = Limiter.acquire(ctx.Fd, ctx.Deadline);
  if (result == SlotWaitResult::Closed) {
    count("left_queue");
    return dropConnection(req, resp);
  }
  if (result == SlotWaitResult::DeadlineExceeded) {
    count("late_in_queue");
    return sendNotRun(ctx, "deadline");
  }
  execute(ctx);
}

void Target::execute(RequestContext &ctx) {
  count("executed");
  auto name = spec().Name;
  if (ctx.Key.empty()) {
    ctx.ExecutionCount = counts().Counters["executed"];
    auto q = queryOf(ctx.Req);
    auto nonce = q.find("n");
    if (nonce != q.end())
      Log.record(nonce->second, name);
  } else {
    ctx.ExecutionCount = Log.record(ctx.Key, name);
    if (ctx.ExecutionCount > 1)
      count("second_executions");
  }
  bool complete = false;
  bool closed = false;
  try {
    complete = ctx.readBody();
    auto micros = std::min(serviceMicros(ctx.Path), microsUntil(ctx.Deadline));
    auto end = Clock::now() + std::chrono::microseconds(micros);
    closed = !complete || waitForClose(ctx.Fd, micros);
    auto lag = std::chrono::milliseconds(faults().CancelLagMs);
    if (closed && lag.count() != 0)
      std::this_thread::sleep_until(
          lag.count() < 0 ? end : std::min(end, Clock::now() + lag));
  } catch (const Poco::Exception &) {
    // The connection failed while the body was read.
    closed = true;
  }
  // The sender may reuse the slot as soon as it has received the response.
  Limiter.release(ctx.Fd);
  if (closed) {
    count("cancelled");
    return dropConnection(ctx.Req, ctx.Resp);
  }
  respond(ctx);
}

void Target::respond(RequestContext &ctx) {
  auto f = faults();
  auto t = spec();
  OutgoingResponse resp;
  resp.Nonce = ctx.Req.get("X-Attempt-Nonce", "");
  resp.Key = ctx.Key;
  Json::Value out;
  out["target"] = t.Name;
  out["version"] = t.Version;
  out["service"] = t.Service;
  out["path"] = ctx.Req.getURI();
  out["executed"] = static_cast<Json::UInt64>(ctx.ExecutionCount);
  out["idempotency_key"] = ctx.Key;
  out["nonce"] = resp.Nonce;
  out["team"] = ctx.Req.get("X-Team", "");
  out["body_bytes"] = static_cast<Json::Int64>(ctx.BodyBytes);
  out["body_checksum"] = ctx.BodyChecksum;
  if (microsUntil(ctx.Deadline) <= 0) {
    count("deadline");
    resp.Status = 504;
    resp.Outcome = "unknown";
    resp.Reason = "deadline";
    out["error"] = "deadline";
  } else if (ctx.Path.rfind(f.FailRoute, 0) == 0 && drawFault(f.FailPpm)) {
    count("failed");
    resp.Status = f.FailStatus;
    resp.Outcome = "failed";
    out["error"] = "injected failure";
  }
  if (f.PaddingBytes > 0)
    out["padding"] = std::string(static_cast<std::size_t>(f.PaddingBytes), 'x');
  resp.Body = compactJson(out);
  if (f.SwapPpm > 0 && Swapper.swap(resp, drawFault(f.SwapPpm)))
    count("crossed");
  if (drawFault(f.ClosePpm)) {
    count("closed");
    return dropConnection(ctx.Req, ctx.Resp);
  }
  if (f.ResponseDelayMs > 0 && waitForClose(ctx.Fd, f.ResponseDelayMs * 1000)) {
    count("left_late");
    return dropConnection(ctx.Req, ctx.Resp);
  }
  send(ctx, resp);
}

void Target::send(RequestContext &ctx, const OutgoingResponse &resp) {
  if (holdIfSilenced(ctx))
    return;
  if (!resp.Nonce.empty())
    ctx.Resp.set("X-Attempt-Nonce", resp.Nonce);
  if (!resp.Key.empty())
    ctx.Resp.set("Idempotency-Key", resp.Key);
  if (!resp.Outcome.empty())
    ctx.Resp.set("X-Outcome", resp.Outcome);
  if (!resp.Reason.empty())
    ctx.Resp.set("X-Reason", resp.Reason);
  if (resp.Status != 503 && drawFault(faults().TruncatePpm)) {
    count("truncated");
    ctx.Resp.setStatusAndReason(
        static_cast<HTTPResponse::HTTPStatus>(resp.Status));
    ctx.Resp.setContentType("application/json");
    ctx.Resp.setContentLength64(static_cast<Poco::Int64>(resp.Body.size()));
    auto &out = ctx.Resp.send();
    out.write(resp.Body.data(),
              static_cast<std::streamsize>(resp.Body.size() / 2));
    out.flush();
    return dropConnection(ctx.Req, ctx.Resp);
  }
  sendText(ctx.Resp, resp.Status, "application/json", resp.Body);
}

} // namespace savorylb::standin
