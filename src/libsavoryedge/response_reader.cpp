#include "response_reader.h"

#include "connection_pool.h"
#include "savorylb/clock.h"
#include "savorylb/target_client_http.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <algorithm>
#include <vector>

namespace savorylb {
namespace {

using Poco::Net::HTTPResponse;

constexpr std::size_t ReadBufferBytes = 65'536;
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

bool hasNoBody(const TargetRequest &request, int status) {
  return request.Method == Poco::Net::HTTPRequest::HTTP_HEAD ||
         status == HTTPResponse::HTTP_NO_CONTENT ||
         status == HTTPResponse::HTTP_NOT_MODIFIED;
}

bool isInterim(int status) { return status >= 100 && status < 200; }

/// \returns whether a header is removed from the relayed response: hop-by-hop
/// and message-length headers, the target's Date and Server, and headers that
/// only the daemon and the target use.
bool isStrippedHeader(const std::string &name) {
  static const char *const names[] = {"Connection",
                                      "Keep-Alive",
                                      "Transfer-Encoding",
                                      "Content-Length",
                                      "Upgrade",
                                      "Proxy-Connection",
                                      "Trailer",
                                      "TE",
                                      "X-Outcome",
                                      "X-Attempt-Nonce",
                                      "X-Reason",
                                      "X-Served-By",
                                      "Date",
                                      "Server"};
  return std::any_of(std::begin(names), std::end(names), [&](const char *it) {
    return Poco::icompare(name, it) == 0;
  });
}

/// Checks the nonce that the target echoes, which detects a response to another
/// request.
/// \returns an empty string, or the reason to reject the response.
std::string checkEcho(const TargetRequest &request, const HTTPResponse &head) {
  if (head.has("X-Attempt-Nonce"))
    return head.get("X-Attempt-Nonce") == request.Nonce ? "" : "crossed";
  return request.RequireEcho ? "no-echo" : "";
}

struct BodyReader {
  Poco::Net::HTTPClientSession &Session;
  std::istream &In;
  std::int64_t Length;
  MonoTime Deadline;
  const ResponseSink &Sink;
  TargetResponse &Response;
  std::ostream *Out = nullptr;
};

bool startStreaming(BodyReader &reader) {
  reader.Out = reader.Sink.Start
                   ? reader.Sink.Start(reader.Response.Status,
                                       reader.Response.Headers, reader.Length)
                   : nullptr;
  reader.Response.Streamed = reader.Out != nullptr;
  if (!reader.Out)
    return false;
  reader.Out->write(reader.Response.Body.data(),
                    static_cast<std::streamsize>(reader.Response.Body.size()));
  reader.Response.Body.clear();
  return reader.Out->good();
}

/// Reads the body into the response or, if it is large, into the sink.
/// \returns an empty string, or why the body is incomplete.
std::string readBody(BodyReader &reader) {
  if (reader.Length > MaxBufferedResponse && !startStreaming(reader))
    return "caller-gone";
  std::vector<char> buf(ReadBufferBytes);
  while (reader.Length < 0 || reader.Response.BodyBytes < reader.Length) {
    Duration left = reader.Deadline - monoNow();
    if (left <= Duration(0))
      return "timeout";
    reader.Session.socket().setReceiveTimeout(
        Poco::Timespan(std::max<std::int64_t>(1000, left.count())));
    std::int64_t want = ReadBufferBytes;
    if (reader.Length >= 0)
      want = std::min(want, reader.Length - reader.Response.BodyBytes);
    // Reads only the available data: filling the buffer could wait beyond the
    // deadline for a target that sends its body in small pieces.
    if (reader.In.peek() == std::istream::traits_type::eof())
      break;
    std::streamsize n = reader.In.readsome(buf.data(), want);
    if (n <= 0)
      break;
    reader.Response.BodyBytes += n;
    if (reader.Out) {
      reader.Out->write(buf.data(), n);
      if (!reader.Out->good())
        return "caller-gone";
      continue;
    }
    reader.Response.Body.append(buf.data(), static_cast<std::size_t>(n));
    if (reader.Length < 0 && reader.Response.BodyBytes > MaxBufferedResponse &&
        !startStreaming(reader))
      return "caller-gone";
  }
  // The stream turns a failed or late read into its bad state.
  bool truncated =
      reader.In.bad() ||
      (reader.Length >= 0 && reader.Response.BodyBytes < reader.Length);
  if (truncated && monoNow() >= reader.Deadline)
    return "timeout";
  return truncated ? "truncated" : "";
}

} // namespace

void readResponse(Poco::Net::HTTPClientSession &session,
                  const TargetRequest &request, MonoTime deadline,
                  const ResponseSink &sink, TargetResponse &response) {
  HTTPResponse head;
  std::istream *in = &session.receiveResponse(head);
  // Poco skips only responses with status 100. The deadline of the socket's
  // reads bounds their number.
  while (isInterim(head.getStatus()))
    in = &session.receiveResponse(head);
  response.Status = head.getStatus();
  // Poco accepts any number of up to three digits.
  if (response.Status < MinStatus || response.Status > MaxStatus) {
    response.Reason = "bad-status";
    session.reset();
    return;
  }
  for (const auto &[name, value] : head)
    if (!isStrippedHeader(name))
      response.Headers.emplace_back(name, value);
  response.Reason = checkEcho(request, head);
  if (!response.Reason.empty()) {
    session.reset();
    return;
  }
  bool notRun = head.get("X-Outcome", "") == "not-run";
  bool chunked = head.getChunkedTransferEncoding();
  std::int64_t length = head.getContentLength64();
  if (!hasNoBody(request, response.Status)) {
    if (!chunked && length < 0)
      response.Reason = "no-length";
    BodyReader reader{session,  *in,  chunked ? -1 : length,
                      deadline, sink, response};
    if (response.Reason.empty())
      response.Reason = readBody(reader);
    // A truncated chunked body ends like a complete one; only the closed
    // connection reveals it.
    if (response.Reason.empty() && chunked && isReadable(session))
      response.Reason = "truncated";
  }
  if (!head.getKeepAlive() || !response.Reason.empty())
    session.setKeepAlive(false);
  if (!response.Reason.empty())
    return;
  response.Outcome = notRun ? TargetOutcome::NotRun : TargetOutcome::Done;
  if (notRun)
    response.Reason = "shed";
}

} // namespace savorylb
