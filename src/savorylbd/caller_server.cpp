#include "caller_server.h"

#include "caller_connection.h"
#include "daemon.h"
#include "http_reply.h"
#include "key_freshness.h"
#include "request_flow.h"
#include "request_parse.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/lookup.h"
#include "savorylb/metrics.h"
#include "stage_timer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace savorylb {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Limit of each wait for a caller's socket, also for the first request.
constexpr Duration SocketTimeout = Seconds(30);
constexpr Duration KeepAliveTimeout = Seconds(30);
constexpr int MaxKeepAliveRequests = 100'000;
constexpr std::size_t MaxHeaderFields = 100;

/// Counts a request in Daemon::RequestsInFlight for the lifetime of the guard.
struct InFlightGuard {
  Daemon &LocalDaemon;
  explicit InFlightGuard(Daemon &daemon) : LocalDaemon(daemon) {
    ++LocalDaemon.RequestsInFlight;
  }
  ~InFlightGuard() { --LocalDaemon.RequestsInFlight; }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;
};

bool headersTooLarge(const HTTPServerRequest &request, ByteCount limit) {
  std::int64_t bytes = static_cast<std::int64_t>(request.getURI().size());
  std::size_t fields = 0;
  for (const auto &[name, value] : request) {
    bytes += static_cast<std::int64_t>(name.size() + value.size());
    ++fields;
  }
  return bytes > limit.Value || fields > MaxHeaderFields;
}

/// Resets the caller's connection, so that a truncated response does not look
/// complete.
void resetConnection(HTTPServerRequest &request) {
  auto *impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
  if (!impl)
    return;
  try {
    impl->socket().setLinger(true, 0);
    impl->socket().shutdown();
  } catch (const Poco::Exception &) {
    // The caller has closed it already.
  }
}

/// Closes the caller's connection after this response during a drain,
/// even if the stop began while the request ran.
void disableKeepAliveIfDeparting(Daemon &daemon, HTTPServerResponse &response) {
  if (daemon.Departing)
    response.setKeepAlive(false);
}

void sendRefusal(Daemon &daemon, HTTPServerResponse &response,
                 const Refusal &refusal) {
  disableKeepAliveIfDeparting(daemon, response);
  const char *outcome = refusal.NotRun ? "not-run" : "unknown";
  auto ms = std::chrono::duration_cast<Millis>(refusal.RetryAfter).count();
  response.set("X-Outcome", outcome);
  response.set("X-Reason", refusal.Reason);
  response.set("X-Served-By", daemon.Conf.Vm.Value);
  if (ms > 0)
    response.set("Retry-After", std::to_string((ms + 999) / 1000));
  Json::Value body(Json::objectValue);
  body["outcome"] = outcome;
  body["reason"] = refusal.Reason;
  body["detail"] = refusal.Detail;
  body["retry_after_ms"] = Json::Int64(ms);
  sendJson(response, refusal.Status, body);
}

void setStatusAndHeaders(Daemon &daemon, HTTPServerResponse &response,
                         int status, const HeaderList &headers) {
  disableKeepAliveIfDeparting(daemon, response);
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  for (const auto &[name, value] : headers)
    response.add(name, value);
  response.set("X-Outcome", "done");
  response.set("X-Served-By", daemon.Conf.Vm.Value);
}

void sendResponse(Daemon &daemon, HTTPServerRequest &request,
                  HTTPServerResponse &response, const RequestResult &result) {
  const TargetResponse &answer = *result.Response;
  if (answer.Streamed) {
    if (answer.Outcome != TargetOutcome::Done)
      resetConnection(request);
    return;
  }
  setStatusAndHeaders(daemon, response, answer.Status, answer.Headers);
  if (result.Repeated)
    response.set("X-Repeated", "true");
  response.sendBuffer(answer.Body.data(), answer.Body.size());
}

void recordOutcome(Daemon &daemon, const RequestContext &context,
                   const RequestResult &result) {
  bool done =
      result.Response && result.Response->Outcome == TargetOutcome::Done;
  std::string reason;
  std::string outcome = "done";
  if (!done) {
    bool notRun = result.Refused && result.Refused->NotRun;
    outcome = notRun ? "not-run" : "unknown";
    reason = result.Refused ? result.Refused->Reason : result.Response->Reason;
  }
  std::string service = context.Service ? context.Service->Name.Value : "";
  Duration total = monoNow() - context.ArrivedAt;
  recordRequest(context.Team.Value, service, daemon.Conf.Region.Value, outcome,
                reason, total, total - context.TargetTime);
  if (done && !daemon.Conf.LogDecisions)
    return;
  EventCode code = EventCode::RequestDone;
  if (!done)
    code = outcome == "not-run" ? EventCode::RequestRefused
                                : EventCode::RequestUnknown;
  logEvent(code, {{"trace", context.Trace},
                  {"service", service},
                  {"team", context.Team.Value},
                  {"target", result.Target.Value},
                  {"version", result.Version.Value},
                  {"status", std::int64_t(done ? result.Response->Status : 0)},
                  {"repeated", result.Repeated},
                  {"total_us", total.count()},
                  {"target_us", context.TargetTime.count()},
                  {"reason", reason}});
}

std::optional<Refusal> checkKeysFresh(Daemon &daemon,
                                      const RequestContext &context) {
  if (context.KeyDigest.empty() || areKeysUsable(daemon))
    return std::nullopt;
  Refusal refusal;
  refusal.Reason = "keys-stale";
  refusal.Detail = "this VM may be cut off and cannot know of revoked keys";
  return refusal;
}

void serveRequest(Daemon &daemon, HTTPServerRequest &request,
                  HTTPServerResponse &response) {
  RequestContext context(daemon);
  ResponseSink sink;
  sink.Start = [&](int status, const HeaderList &headers, std::int64_t length) {
    setStatusAndHeaders(daemon, response, status, headers);
    if (length >= 0)
      response.setContentLength64(length);
    else
      response.setChunkedTransferEncoding(true);
    return &response.send();
  };
  RequestResult result;
  result.Refused = parseRequest(request, context);
  if (!result.Refused)
    result.Refused = checkKeysFresh(daemon, context);
  if (!result.Refused) {
    // The time includes waiting for a small body to arrive.
    StageTimer timer("body");
    result.Refused = readBody(request, context);
  }
  if (!result.Refused)
    result = runRequest(context, sink);
  recordOutcome(daemon, context, result);
  // Unread bytes of a body would be parsed as the next request.
  if (context.BodyStream && (!context.BodyStream->eof() || result.Refused))
    response.setKeepAlive(false);
  // Closing a connection with unread bytes resets it, and the caller would lose
  // the refusal. When the outcome is unknown, the response does not wait for
  // the rest of the body.
  if (result.Refused && result.Refused->NotRun)
    drainBody(request, response);
  if (result.Response)
    sendResponse(daemon, request, response, result);
  else
    sendRefusal(daemon, response, *result.Refused);
}

Json::Value lookupJson(const LookupAnswer &answer) {
  Json::Value body(Json::objectValue);
  Json::Value &vms = body["vms"] = Json::Value(Json::arrayValue);
  for (const LookupVm &it : answer.Vms) {
    Json::Value vm(Json::objectValue);
    vm["name"] = it.Name.Value;
    vm["address"] = it.CallerEndpoint;
    vm["zone"] = it.Zone.Value;
    vm["region"] = it.Region.Value;
    vms.append(vm);
  }
  auto ms = std::chrono::duration_cast<Millis>(answer.TimeToLive).count();
  body["ttl_ms"] = Json::Int64(ms);
  body["identity_prefix"] = answer.IdentityPrefix;
  return body;
}

/// Adds the revision of the zone's owner map, which distinguishes identities
/// created after a takeover from earlier ones.
std::string addRevision(Daemon &daemon, const std::string &prefix) {
  ZoneId zone(prefix.substr(0, prefix.find(':')));
  std::lock_guard<std::mutex> guard(daemon.Documents.Lock);
  auto it = daemon.Documents.Zones.find(zone);
  if (it == daemon.Documents.Zones.end())
    return prefix;
  return zone.Value + "@" + std::to_string(it->second->Rev.Value) + ":";
}

void serveLookup(Daemon &daemon, HTTPServerRequest &request,
                 HTTPServerResponse &response, const Poco::URI &uri) {
  LookupQuery query;
  std::string client = request.clientAddress().host().toString();
  for (const auto &[name, value] : uri.getQueryParameters()) {
    if (name == "service")
      query.Service = ServiceId(value);
    else if (name == "client")
      client = value;
  }
  std::optional<std::uint32_t> address = parseIpv4(client);
  if (!address) {
    Refusal refusal;
    refusal.Status = 400;
    refusal.Reason = "bad-client";
    refusal.Detail = "client is an IPv4 address";
    return sendRefusal(daemon, response, refusal);
  }
  query.ClientAddress = *address;
  SnapshotPtr snapshot = currentSnapshot(daemon);
  LookupAnswer answer =
      lookUp(*lookupIndex(daemon), *snapshot->Blocks, query, monoNow());
  if (!answer.IdentityPrefix.empty())
    answer.IdentityPrefix = addRevision(daemon, answer.IdentityPrefix);
  incrementCounter("lookups");
  if (daemon.Conf.LogDecisions)
    logEvent(
        EventCode::LookupAnswered,
        {{"service", query.Service.Value},
         {"client", client},
         {"first", answer.Vms.empty() ? "" : answer.Vms.front().Name.Value},
         {"vms", static_cast<std::int64_t>(answer.Vms.size())},
         {"reason", answer.Reason}});
  auto seconds = std::chrono::duration_cast<Seconds>(answer.TimeToLive).count();
  response.set("Cache-Control", "max-age=" + std::to_string(seconds));
  sendJson(response, 200, lookupJson(answer));
}

void handleCaller(Daemon &daemon, HTTPServerRequest &request,
                  HTTPServerResponse &response) {
  InFlightGuard guard(daemon);
  disableKeepAliveIfDeparting(daemon, response);
  if (headersTooLarge(request, daemon.Conf.MaxHeaderBytes)) {
    Refusal refusal;
    refusal.Status = 431;
    refusal.Reason = "headers-too-large";
    response.setKeepAlive(false);
    return sendRefusal(daemon, response, refusal);
  }
  const std::string &target = request.getURI();
  if (target.compare(0, 10, "/v1/lookup") == 0) {
    Poco::URI uri(target);
    if (uri.getPath() == "/v1/lookup")
      return serveLookup(daemon, request, response, uri);
  }
  // Lookups are not counted: callers may send them to any VM at any time.
  daemon.LastRequestAt = monoNow().time_since_epoch().count();
  serveRequest(daemon, request, response);
}

class CallerHandler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit CallerHandler(Daemon &daemon) : LocalDaemon(daemon) {}

  void handleRequest(HTTPServerRequest &request,
                     HTTPServerResponse &response) override {
    try {
      handleCaller(LocalDaemon, request, response);
    } catch (const std::exception &ex) {
      // It is not known here whether the request ran.
      logEvent(EventCode::RequestUnknown,
               {{"reason", "internal-error"}, {"detail", ex.what()}});
      if (response.sent())
        return resetConnection(request);
      Refusal refusal;
      refusal.Status = 500;
      refusal.NotRun = false;
      refusal.Reason = "internal-error";
      response.setKeepAlive(false);
      sendRefusal(LocalDaemon, response, refusal);
    }
  }

private:
  Daemon &LocalDaemon;
};

class CallerHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit CallerHandlerFactory(Daemon &daemon) : LocalDaemon(daemon) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new CallerHandler(LocalDaemon);
  }

private:
  Daemon &LocalDaemon;
};

} // namespace

namespace {

/// POCO uses one thread for each open connection. At least 4 are kept; others
/// end when idle for 60 s.
Poco::ThreadPool &callerThreads(Daemon &daemon) {
  static Poco::ThreadPool pool("callers", 4, daemon.Conf.MaxCallerConnections,
                               60);
  return pool;
}

} // namespace

std::unique_ptr<Poco::Net::TCPServer> startCallerServer(Daemon &daemon) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(daemon.Conf.MaxCallerConnections);
  // Accepted connections that may wait for a thread: a quarter of the limit on
  // open ones.
  params->setMaxQueued(daemon.Conf.MaxCallerConnections / 4);
  params->setTimeout(Poco::Timespan(SocketTimeout.count()));
  params->setKeepAliveTimeout(Poco::Timespan(KeepAliveTimeout.count()));
  params->setMaxKeepAliveRequests(MaxKeepAliveRequests);
  params->setSoftwareVersion("");
  try {
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(
        daemon.Conf.Address,
        static_cast<Poco::UInt16>(daemon.Conf.CallerPort)));
    auto server = std::make_unique<Poco::Net::TCPServer>(
        makeCallerConnections(daemon.Callers, params,
                              new CallerHandlerFactory(daemon)),
        callerThreads(daemon), socket, params);
    server->start();
    return server;
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

} // namespace savorylb
