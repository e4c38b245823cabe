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

using Clock = SlotGate::Clock;

// Applies to requests without a deadline of their own.
constexpr std::int64_t DefaultDeadlineMs = 60'000;
// How often a silent connection looks whether the peer has closed it.
constexpr std::int64_t SilentCheckMicros = 1'000'000;

std::int64_t microsUntil(Clock::time_point t) {
  return std::chrono::duration_cast<std::chrono::microseconds>(t - Clock::now())
      .count();
}

} // namespace

/// One request while it is worked on.
struct Target::Work {
  HTTPServerRequest &Req;
  HTTPServerResponse &Resp;
  int Fd;
  std::string Path;
  std::string Key;
  Clock::time_point Deadline;
  std::int64_t BodyBytes = 0;
  std::string BodyChecksum;
  std::uint64_t Executed = 0;

  /// Reads the body. \returns false when it did not come whole in time.
  bool readBody() {
    Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
    bool chunked = Req.getChunkedTransferEncoding();
    auto &socket = static_cast<HTTPServerRequestImpl &>(Req).socket();
    auto usual = socket.getReceiveTimeout();
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
      socket.setReceiveTimeout(usual);
    }
    BodyChecksum = Poco::NumberFormatter::formatHex(sum.checksum(), 8);
    return chunked || !Req.hasContentLength() ||
           BodyBytes == Req.getContentLength64();
  }
};

bool Target::holdIfSilent(Work &w) {
  if (!Epochs->isSilent(w.Req.clientAddress().toString()))
    return false;
  count("silent");
  while (!waitForClose(w.Fd, SilentCheckMicros)) {
  }
  dropConnection(w.Req, w.Resp);
  return true;
}

void Target::refuse(Work &w, const std::string &reason) {
  // The unread body would be taken for the next request.
  if (w.Req.hasContentLength() || w.Req.getChunkedTransferEncoding())
    if (w.BodyChecksum.empty() && !w.readBody())
      return dropConnection(w.Req, w.Resp);
  TargetAnswer it;
  it.Status = 503;
  it.Outcome = "not-run";
  it.Reason = reason;
  it.Nonce = w.Req.get("X-Attempt-Nonce", "");
  it.Body = "{\"outcome\":\"not-run\",\"reason\":\"" + reason + "\"}";
  send(w, it);
}

void Target::answer(HTTPServerRequest &req, HTTPServerResponse &resp) {
  auto ms = Poco::NumberParser::parse64(
      req.get("X-Deadline-Ms", std::to_string(DefaultDeadlineMs)));
  Work w{req,
         resp,
         descriptorOf(req),
         pathOf(req),
         req.get("Idempotency-Key", ""),
         Clock::now() + std::chrono::milliseconds(ms),
         0,
         "",
         0};
  auto peer = req.clientAddress().toString();
  // A fresh connection may fall silent just after it was chosen.
  if (!w.Key.empty() && Epochs->isSilent(peer) &&
      Epochs->age(peer) > std::chrono::seconds(1))
    count("once_on_silent");
  if (holdIfSilent(w))
    return;
  if (w.Path == "/health")
    return answerHealth(resp);
  if (w.Path == "/load")
    return answerLoad(resp);
  noteRequest(req);
  if (faults().Shed) {
    count("shed");
    return refuse(w, "shed");
  }
  auto entry = Gate.enter(w.Fd, w.Deadline);
  if (entry == SlotEntry::Closed) {
    count("left_queue");
    return dropConnection(req, resp);
  }
  if (entry == SlotEntry::TooLate) {
    count("late_in_queue");
    return refuse(w, "deadline");
  }
  execute(w);
}

void Target::execute(Work &w) {
  count("executed");
  auto name = spec().Name;
  if (w.Key.empty()) {
    w.Executed = counts().Numbers["executed"];
    auto q = queryOf(w.Req);
    auto number = q.find("n");
    if (number != q.end())
      Log.note(number->second, name);
  } else {
    w.Executed = Log.note(w.Key, name);
    if (w.Executed > 1)
      count("second_executions");
  }
  bool whole = false;
  bool closed = false;
  try {
    whole = w.readBody();
    auto micros = std::min(serviceMicros(w.Path), microsUntil(w.Deadline));
    auto end = Clock::now() + std::chrono::microseconds(micros);
    closed = !whole || waitForClose(w.Fd, micros);
    auto lag = std::chrono::milliseconds(faults().CancelLagMs);
    if (closed && lag.count() != 0)
      std::this_thread::sleep_until(
          lag.count() < 0 ? end : std::min(end, Clock::now() + lag));
  } catch (const Poco::Exception &) {
    // The connection broke while the body came.
    closed = true;
  }
  // The sender may reuse the slot as soon as it has the answer.
  Gate.leave(w.Fd);
  if (closed) {
    count("cancelled");
    return dropConnection(w.Req, w.Resp);
  }
  respond(w);
}

void Target::respond(Work &w) {
  auto f = faults();
  auto t = spec();
  TargetAnswer it;
  it.Nonce = w.Req.get("X-Attempt-Nonce", "");
  it.Key = w.Key;
  Json::Value out;
  out["target"] = t.Name;
  out["version"] = t.Version;
  out["service"] = t.Service;
  out["path"] = w.Req.getURI();
  out["executed"] = static_cast<Json::UInt64>(w.Executed);
  out["idempotency_key"] = w.Key;
  out["nonce"] = it.Nonce;
  out["team"] = w.Req.get("X-Team", "");
  out["body_bytes"] = static_cast<Json::Int64>(w.BodyBytes);
  out["body_checksum"] = w.BodyChecksum;
  if (microsUntil(w.Deadline) <= 0) {
    count("deadline");
    it.Status = 504;
    it.Outcome = "unknown";
    it.Reason = "deadline";
    out["error"] = "deadline";
  } else if (w.Path.rfind(f.FailRoute, 0) == 0 && chance(f.FailPpm)) {
    count("failed");
    it.Status = f.FailStatus;
    it.Outcome = "failed";
    out["error"] = "injected failure";
  }
  if (f.BigBytes > 0)
    out["padding"] = std::string(static_cast<std::size_t>(f.BigBytes), 'x');
  it.Body = compactJson(out);
  if (f.CrossPpm > 0 && Cross.swap(it, chance(f.CrossPpm)))
    count("crossed");
  if (chance(f.ClosePpm)) {
    count("closed");
    return dropConnection(w.Req, w.Resp);
  }
  if (f.LateMs > 0 && waitForClose(w.Fd, f.LateMs * 1000)) {
    count("left_late");
    return dropConnection(w.Req, w.Resp);
  }
  send(w, it);
}

void Target::send(Work &w, const TargetAnswer &it) {
  if (holdIfSilent(w))
    return;
  if (!it.Nonce.empty())
    w.Resp.set("X-Attempt-Nonce", it.Nonce);
  if (!it.Key.empty())
    w.Resp.set("Idempotency-Key", it.Key);
  if (!it.Outcome.empty())
    w.Resp.set("X-Outcome", it.Outcome);
  if (!it.Reason.empty())
    w.Resp.set("X-Reason", it.Reason);
  if (it.Status != 503 && chance(faults().TruncatePpm)) {
    count("truncated");
    w.Resp.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(it.Status));
    w.Resp.setContentType("application/json");
    w.Resp.setContentLength64(static_cast<Poco::Int64>(it.Body.size()));
    auto &out = w.Resp.send();
    out.write(it.Body.data(), static_cast<std::streamsize>(it.Body.size() / 2));
    out.flush();
    return dropConnection(w.Req, w.Resp);
  }
  sendText(w.Resp, it.Status, "application/json", it.Body);
}

} // namespace savorylb::standin
