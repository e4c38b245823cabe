#include "request_parse.h"

#include "savorylb/clock.h"
#include "savorylb/digest.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <algorithm>

namespace savorylb {
namespace {

using Poco::Net::HTTPServerRequest;

constexpr char RoutePrefix[] = "/svc/";
/// Lengths in bytes.
constexpr std::size_t MaxIdentityLength = 200;
constexpr std::size_t MaxKeyLength = 512;
/// Shorter keys are not searched for: they could occur in a path or header by
/// chance.
constexpr std::size_t MinSearchedKeyLength = 8;
constexpr Duration MaxDeadline = Seconds(300);
/// Maximum length of the path segment that distinguishes routes in the evidence
/// of a rollout.
constexpr std::size_t MaxRouteLength = 48;

Refusal makeRefusal(int status, const char *reason, const std::string &detail) {
  Refusal refusal;
  refusal.Status = status;
  refusal.Reason = reason;
  refusal.Detail = detail;
  return refusal;
}

/// Whether a header is sent to the target. The key, hop-by-hop headers and
/// headers that the daemon sets itself are not.
bool isForwarded(const std::string &name) {
  static const char *const dropped[] = {
      "Connection",       "Keep-Alive",   "Transfer-Encoding",
      "Content-Length",   "Upgrade",      "Host",
      "Expect",           "TE",           "Trailer",
      "Proxy-Connection", "X-Tenant-Key", "X-Deadline-Ms",
      "X-Attempt-Nonce",  "X-Attempt",    "X-Team",
      "X-Outcome"};
  return std::none_of(
      std::begin(dropped), std::end(dropped),
      [&](const char *it) { return Poco::icompare(name, it) == 0; });
}

std::string percentDecode(const std::string &text) {
  std::string out;
  try {
    Poco::URI::decode(text, out, true);
  } catch (const Poco::Exception &) {
    out = text;
  }
  return out;
}

/// Whether the key also occurs outside its header, from where it would reach
/// the target.
bool hasMisplacedKey(const HTTPServerRequest &request, const std::string &key) {
  if (key.size() < MinSearchedKeyLength)
    return false;
  const std::string &uri = request.getURI();
  if (uri.find(key) != std::string::npos ||
      percentDecode(uri).find(key) != std::string::npos)
    return true;
  for (const auto &[name, value] : request)
    if (Poco::icompare(name, "X-Tenant-Key") != 0 &&
        (value.find(key) != std::string::npos ||
         name.find(key) != std::string::npos))
      return true;
  return false;
}

RouteId routeOf(const ServiceId &service, const std::string &path) {
  std::size_t end = path.find_first_of("/?", 1);
  std::string first = path.substr(0, end);
  if (first.size() > MaxRouteLength)
    first.resize(MaxRouteLength);
  return RouteId(service.Value + first);
}

std::optional<Refusal> parsePath(const HTTPServerRequest &request,
                                 RequestContext &context) {
  const std::string &uri = request.getURI();
  std::size_t start = sizeof(RoutePrefix) - 1;
  if (uri.compare(0, start, RoutePrefix) != 0)
    return makeRefusal(404, "no-route", "paths are /svc/<service>/<path>");
  std::size_t end = uri.find_first_of("/?", start);
  ServiceId service(uri.substr(
      start, end == std::string::npos ? std::string::npos : end - start));
  context.Service = findService(context.ArrivalSnapshot->Conf, service);
  if (!context.Service)
    return makeRefusal(404, "no-route", "no service " + service.Value);
  context.Path = end == std::string::npos ? "/" : uri.substr(end);
  if (context.Path[0] == '?')
    context.Path = "/" + context.Path;
  context.Route = routeOf(service, context.Path);
  context.Method = request.getMethod();
  return std::nullopt;
}

std::optional<Refusal> parseDeadline(const HTTPServerRequest &request,
                                     RequestContext &context) {
  Duration limit = context.LocalDaemon.Conf.DefaultDeadline;
  if (request.has("X-Deadline-Ms")) {
    Poco::Int64 ms = 0;
    if (!Poco::NumberParser::tryParse64(request.get("X-Deadline-Ms"), ms) ||
        ms <= 0)
      return makeRefusal(400, "bad-deadline",
                         "X-Deadline-Ms is a positive number of milliseconds");
    // One hour, in ms, keeps the conversion to Duration from overflowing;
    // MaxDeadline is the limit that applies.
    limit = std::min<Duration>(Millis(std::min<Poco::Int64>(ms, 3'600'000)),
                               MaxDeadline);
  }
  context.Deadline = context.ArrivedAt + limit;
  return std::nullopt;
}

std::optional<Refusal> parseIdentity(const HTTPServerRequest &request,
                                     RequestContext &context) {
  context.Identity = RequestId(request.get("Idempotency-Key", ""));
  context.Trace =
      context.Identity.empty() ? "r" + randomHex(8) : context.Identity.Value;
  int attempt = 0;
  if (Poco::NumberParser::tryParse(request.get("X-Attempt", "0"), attempt))
    context.CallerAttempt = attempt;
  if (context.Service->Mode != Execution::AtMostOnce)
    return std::nullopt;
  if (context.Identity.empty())
    return makeRefusal(400, "no-identity",
                       "this service needs an Idempotency-Key header");
  if (context.Identity.Value.size() > MaxIdentityLength)
    return makeRefusal(400, "bad-identity", "Idempotency-Key is too long");
  return std::nullopt;
}

/// Open services accept requests without a valid key; a valid key still
/// determines the team.
std::optional<Refusal> parseKey(const HTTPServerRequest &request,
                                RequestContext &context) {
  std::string key = request.get("X-Tenant-Key", "");
  const ServiceSpec &service = *context.Service;
  if (key.size() > MaxKeyLength)
    return makeRefusal(401, "unknown-key", "the key is too long");
  if (!key.empty() && hasMisplacedKey(request, key))
    return makeRefusal(400, "key-misplaced",
                       "the key belongs in X-Tenant-Key and nowhere else");
  std::string digest = key.empty() ? "" : sha256Hex(key);
  std::optional<TeamId> team;
  if (!digest.empty())
    team = teamOfKey(context.ArrivalSnapshot->Keys, digest);
  if (team) {
    context.Team = *team;
    context.KeyDigest = digest;
    return std::nullopt;
  }
  if (service.Open) {
    context.Team = service.OpenTeam;
    return std::nullopt;
  }
  // A VM that has not received the keys yet cannot reject one.
  if (!key.empty() && context.ArrivalSnapshot->Keys.Rev == Revision(0))
    return makeRefusal(503, "not-ready", "this VM has no keys yet");
  if (key.empty())
    return makeRefusal(401, "no-key",
                       "this service needs an X-Tenant-Key header");
  return makeRefusal(401, "unknown-key", "the key is not in force");
}

std::optional<Refusal> checkTeam(RequestContext &context) {
  const TeamSpec *team = findTeam(context.ArrivalSnapshot->Conf, context.Team);
  if (!team)
    return makeRefusal(403, "wrong-team", "the team is not configured");
  const auto &services = team->Services;
  bool allowed = std::find(services.begin(), services.end(),
                           context.Service->Name) != services.end();
  if (!allowed && !services.empty())
    return makeRefusal(403, "wrong-team", "the team may not call this service");
  context.Weight = team->Weight;
  context.TeamRegions = team->Regions;
  return std::nullopt;
}

bool hasCallerClosed(int fd) {
  char c = 0;
  return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void copyHeaders(HTTPServerRequest &request, RequestContext &context) {
  for (const auto &[name, value] : request)
    if (isForwarded(name))
      context.Headers.emplace_back(name, value);
  auto *impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
  if (!impl)
    return;
  int fd = impl->socket().impl()->sockfd();
  context.CallerDisconnected = [fd] { return hasCallerClosed(fd); };
}

} // namespace

std::optional<Refusal> parseRequest(HTTPServerRequest &request,
                                    RequestContext &context) {
  context.ArrivedAt = monoNow();
  context.Deadline =
      context.ArrivedAt + context.LocalDaemon.Conf.DefaultDeadline;
  context.ArrivalSnapshot = currentSnapshot(context.LocalDaemon);
  if (context.ArrivalSnapshot->Conf.Rev == Revision(0))
    return makeRefusal(503, "not-ready", "this VM has no configuration yet");
  if (auto refusal = parsePath(request, context))
    return refusal;
  if (auto refusal = parseDeadline(request, context))
    return refusal;
  if (auto refusal = parseIdentity(request, context))
    return refusal;
  if (auto refusal = parseKey(request, context))
    return refusal;
  if (auto refusal = checkTeam(context))
    return refusal;
  copyHeaders(request, context);
  return std::nullopt;
}

std::optional<Refusal> readBody(HTTPServerRequest &request,
                                RequestContext &context) {
  bool chunked = request.getChunkedTransferEncoding();
  std::int64_t length = request.hasContentLength()
                            ? request.getContentLength64()
                            : (chunked ? -1 : 0);
  context.BodyLength = length;
  if (length > context.Service->MaxBody.Value)
    return makeRefusal(413, "too-large",
                       "the body is above the service's limit");
  if (length < 0 && context.Service->Mode == Execution::AtMostOnce)
    return makeRefusal(411, "no-length",
                       "at-most-once requests need a Content-Length");
  if (length < 0 || length > MaxBufferedBody) {
    context.BodyStream = &request.stream();
    return std::nullopt;
  }
  context.BufferedBody.resize(static_cast<std::size_t>(length));
  if (length == 0)
    return std::nullopt;
  request.stream().read(context.BufferedBody.data(), length);
  if (request.stream().gcount() != length)
    return makeRefusal(400, "body-cut", "the body ended early");
  return std::nullopt;
}

} // namespace savorylb
