#include "route_statistics.h"
#include "steering_state.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

const ServiceId Archive("archive");

struct ReportedRoute {
  RouteRule Route;
  SteeringState State;
  SteeredRequest Request;

  ReportedRoute() {
    Route.Id = RouteId("downloads");
    Route.LatencyTarget = Millis(400);
    Request.Route = &Route;
    Request.Service = Archive;
  }
};

} // namespace

TEST_GROUP(RouteStatistics){};

// Guards against a report that does not tell late responses from refusals, or
// one refusal from another.
TEST(RouteStatistics, LossesCannotBeToldApart) {
  ReportedRoute it;
  auto count = [&](RouteOutcome outcome, const char *reason, Duration took) {
    countOutcome(it.State, it.Request, outcome, reason, took);
  };
  count(RouteOutcome::Answered, "", Millis(400));
  count(RouteOutcome::Answered, "", Millis(401));
  count(RouteOutcome::Refused, "overload", Millis(1));
  count(RouteOutcome::Refused, "overload", Millis(1));
  count(RouteOutcome::Refused, "team-limit", Millis(1));
  count(RouteOutcome::Failed, "timeout", Millis(2500));
  count(RouteOutcome::Abandoned, "caller-gone", Millis(300));
  it.State.Services[Archive].ProcessingTimes[it.Route.Id] = {160, 520};
  std::vector<RouteReport> reports = takeRouteReports(it.State);
  LONGS_EQUAL(1, reports.size());
  const RouteStatistics &found = reports[0].Statistics;
  LONGS_EQUAL(1, found.InTime);
  LONGS_EQUAL(1, found.Late);
  LONGS_EQUAL(2, found.Lost.at("refused.overload"));
  LONGS_EQUAL(1, found.Lost.at("refused.team-limit"));
  LONGS_EQUAL(1, found.Lost.at("failed.timeout"));
  LONGS_EQUAL(1, found.Lost.at("abandoned.caller-gone"));
  DOUBLES_EQUAL(160, reports[0].CachedMs, 1e-9);
  DOUBLES_EQUAL(520, reports[0].UncachedMs, 1e-9);
}

// Guards against counting a request in two reports, and reports of idle routes.
TEST(RouteStatistics, OutcomeIsReportedTwice) {
  ReportedRoute it;
  countOutcome(it.State, it.Request, RouteOutcome::Answered, "", Millis(1));
  LONGS_EQUAL(1, takeRouteReports(it.State).size());
  LONGS_EQUAL(0, takeRouteReports(it.State).size());
}
