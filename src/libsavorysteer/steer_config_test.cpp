#include "steer_config.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

RouteRule route(const std::string &id, const std::string &prefix) {
  RouteRule rule;
  rule.Id = RouteId(id);
  rule.Host = "maps.example";
  rule.PathPrefix = prefix;
  return rule;
}

} // namespace

TEST_GROUP(SteerConfig){};

// Guards against choosing a shorter prefix, or one that matches only in the
// query.
TEST(SteerConfig, TakesTheLongestPrefixOfThePath) {
  SteerConfig config;
  config.Routes = {route("short", "/a/"), route("long", "/a/b/")};
  STRCMP_EQUAL("long",
               findRoute(config, "maps.example", "/a/b/c")->Id.Value.c_str());
  STRCMP_EQUAL(
      "short",
      findRoute(config, "maps.example", "/a/x?q=/a/b/")->Id.Value.c_str());
  POINTERS_EQUAL(nullptr, findRoute(config, "maps.example", "/a"));
  POINTERS_EQUAL(nullptr, findRoute(config, "maps.example", "/x?/a/"));
  POINTERS_EQUAL(nullptr, findRoute(config, "other.example", "/a/"));
}

// Guards against requests that leave the home regions of their route or team.
TEST(SteerConfig, HomeRegionsOfRouteAndTeamBothApply) {
  RouteRule rule = route("r", "/a/");
  rule.HomeRegions = {RegionId("tema"), RegionId("elmina")};
  TeamRule team;
  team.HomeRegions = {RegionId("tema")};
  CHECK_TRUE(regionAllowed(rule, &team, RegionId("tema")));
  CHECK_FALSE(regionAllowed(rule, &team, RegionId("elmina")));
  CHECK_TRUE(regionAllowed(rule, nullptr, RegionId("elmina")));
  CHECK_FALSE(regionAllowed(rule, nullptr, RegionId("takoradi")));
}

// Guards against a route's priority that overrides that of the team.
TEST(SteerConfig, PriorityOfTheTeamGoesFirst) {
  RouteRule rule = route("r", "/a/");
  rule.Priority = 2;
  TeamRule team;
  LONGS_EQUAL(2, requestPriority(rule, &team));
  team.Priority = 0;
  LONGS_EQUAL(0, requestPriority(rule, &team));
}
