#include "route_statistics.h"

#include "steering_state.h"

namespace savorylb {
namespace {

const char *outcomeName(RouteOutcome outcome) {
  switch (outcome) {
  case RouteOutcome::Refused:
    return "refused";
  case RouteOutcome::Failed:
    return "failed";
  case RouteOutcome::Abandoned:
    return "abandoned";
  case RouteOutcome::Answered:
    break;
  }
  return "answered";
}

} // namespace

void countOutcome(SteeringState &state, const SteeredRequest &request,
                  RouteOutcome outcome, const std::string &reason,
                  Duration took) {
  if (!request.Route)
    return;
  RouteStatistics &statistics =
      state.Services[request.Service].Statistics[request.Route->Id];
  if (outcome != RouteOutcome::Answered)
    ++statistics.Lost[std::string(outcomeName(outcome)) + '.' + reason];
  else if (took <= request.Route->LatencyTarget)
    ++statistics.InTime;
  else
    ++statistics.Late;
}

std::vector<RouteReport> takeRouteReports(SteeringState &state) {
  std::vector<RouteReport> reports;
  for (auto &[id, service] : state.Services) {
    for (auto &[route, statistics] : service.Statistics) {
      RouteReport report;
      report.Route = route;
      report.Service = id;
      report.Statistics = std::move(statistics);
      report.SlotMs = service.SlotMs;
      report.Pressure = service.Overload.Pressure;
      auto known = service.ProcessingTimes.find(route);
      if (known != service.ProcessingTimes.end()) {
        report.CachedMs = known->second.CachedMs;
        report.UncachedMs = known->second.UncachedMs;
      }
      reports.push_back(std::move(report));
    }
    service.Statistics.clear();
  }
  return reports;
}

} // namespace savorylb
