// The part of VmDaemon that serves callers, lookups and other VMs.
#include "content_coding.h"
#include "edge_protocol.h"
#include "request_proxy.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"
#include "vm_daemon.h"

namespace savorylb {
namespace {

/// Upper limit of the setting `lookup_max_age`. Callers repeat a lookup after
/// this time and so stop using a VM that shuts down; must be shorter than the
/// time until acceptsUntil().
constexpr Duration LookupMaxAgeLimit = Millis(2000);

std::string formatLost(const std::map<std::string, int> &lost) {
  std::string text;
  for (const auto &[reason, n] : lost)
    text += (text.empty() ? "" : " ") + reason + ':' + std::to_string(n);
  return text;
}

} // namespace

bool VmDaemon::mayRunConcurrently(const HttpMessage &request) const {
  if (!State.Config)
    return false;
  const RouteRule *route =
      findRoute(*State.Config, requestHost(request), request.Path);
  return route && route->Retry == RetryRule::Retryable;
}

void VmDaemon::serveCaller(const std::shared_ptr<ServedRequest> &request) {
  if (!TargetsListed) {
    // Retry-After while the VM is not ready: 500 ms.
    request->Respond(
        platform::localResponse(503, "not-ready", Duration(Millis(500))));
    return;
  }
  std::make_shared<RequestProxy>(Io, State, Pool, request)->start();
}

void VmDaemon::serveReadiness(const std::shared_ptr<ServedRequest> &request) {
  bool known = platform::isReadinessCheck(request->Message);
  request->Respond(known && ready() ? jsonResponse(200, "{}")
                                    : platform::localResponse(known ? 503 : 404,
                                                              "not-ready"));
}

void VmDaemon::serveLookup(const std::shared_ptr<ServedRequest> &request) {
  auto query = platform::readLookup(request->Message);
  if (!query) {
    request->Respond(platform::localResponse(404, "no-such-call"));
    return;
  }
  auto addresses =
      lookupAddresses(State.Fleet, query->Zone, query->Region, monoNow());
  incrementCounter("lookups");
  request->Respond(platform::lookupResponse(
      addresses, std::min(LookupMaxAgeLimit, Duration(Settings.LookupMaxAge))));
}

void VmDaemon::reportRoutes() {
  for (const RouteReport &it : takeRouteReports(State)) {
    const RouteStatistics &counts = it.Statistics;
    const std::string &route = it.Route.Value;
    recordRouteRequests(route, "answered.in-time", counts.InTime);
    recordRouteRequests(route, "answered.late", counts.Late);
    for (const auto &[reason, n] : counts.Lost)
      recordRouteRequests(route, reason, n);
    logEvent(EventCode::RouteReported,
             {{"route", route},
              {"service", it.Service.Value},
              {"in_time", std::int64_t(counts.InTime)},
              {"late", std::int64_t(counts.Late)},
              {"lost", formatLost(counts.Lost)},
              {"deferred", std::int64_t(counts.Deferred)},
              {"reserved", counts.ReservedFraction},
              {"cached_ms", it.CachedMs},
              {"uncached_ms", it.UncachedMs},
              {"slot_ms", it.SlotMs},
              {"pressure", it.Pressure}});
  }
}

void VmDaemon::servePeer(const std::shared_ptr<ServedRequest> &request) {
  const std::string &path = request->Message.Path;
  if (path == "/config" && !ConfigText.empty()) {
    HttpMessage response = jsonResponse(200, ConfigText);
    if (acceptsDeflate(request->Message))
      deflateBody(response);
    request->Respond(std::move(response));
    return;
  }
  // The other path has the form /news/REVISION@ERA/PREFIX.
  const std::string start = "/news/";
  std::size_t slash = path.find('/', start.size());
  if (path.compare(0, start.size(), start) == 0 && slash != std::string::npos) {
    std::string after = path.substr(start.size(), slash - start.size());
    for (StoreSync *it : {&OperatorSync, &TargetSync, &SystemSync})
      if (path.substr(slash + 1) == it->mirror().Prefix &&
          isListed(it->mirror())) {
        // An earlier build sends no era, and does not know of eras.
        it->serveFollower(request,
                          readPosition(after, it->mirror().KnownRevision.Era));
        return;
      }
  }
  request->Respond(platform::localResponse(404, "no-such-documents"));
}

} // namespace savorylb
