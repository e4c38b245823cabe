#include "simulated_platform.h"

#include "json_read.h"

namespace savorylb::standin {
namespace {

constexpr int StorePort = 8601;
constexpr int UsagePort = 8602;
constexpr int TargetPort = 8610;
constexpr int ScriptedPort = 8650;
constexpr int CallerPort = 8701;
constexpr int ReadyPort = 8702;
constexpr int LookupPort = 8703;
constexpr int PeerPort = 8704;

std::string loopbackAddress(int net, int host, int port) {
  return "127.0." + std::to_string(net) + "." + std::to_string(host) + ":" +
         std::to_string(port);
}

std::string milliseconds(Millis span) {
  return std::to_string(span.count()) + "ms";
}

void addDutySettings(Json::Value &value, const UsageRules &rules,
                     const std::string &address) {
  value["duties"] = "usage_reporting";
  value["platform_api_address"] = address;
  value["duty_calls_per_second"] = std::to_string(rules.CallsPerSecond);
  value["duty_lease"] = milliseconds(rules.Lease);
  value["duty_lease_margin"] = milliseconds(rules.LeaseMargin);
  value["duty_fencing"] = rules.ChecksToken ? "true" : "false";
  value["usage_window"] = milliseconds(rules.Window);
  value["usage_due"] = milliseconds(rules.Due);
}

Json::Value route(const std::string &prefix, const std::string &kind,
                  const std::string &service, Millis timeout) {
  Json::Value value;
  value["host"] = "maps.example";
  value["prefix"] = prefix;
  value["kind"] = kind;
  value["timeout"] = milliseconds(timeout);
  value["targetLatency"] = "250ms";
  value["priority"] = 1;
  value["service"] = service;
  value["attempts"] = 2;
  value["public"] = false;
  value["sessionAffinity"] = true;
  value["homeRegions"] = Json::arrayValue;
  return value;
}

} // namespace

bool SimulatedPlatform::start(int net) {
  Net = net;
  configure({"key-1"});
  return Store.listen(storeAddress()) && Usage.listen(usageAddress());
}

PlatformTarget &SimulatedPlatform::addTarget(const std::string &service,
                                             const std::string &zone,
                                             const std::string &version) {
  int n = static_cast<int>(Targets.size());
  auto target = std::make_unique<PlatformTarget>(
      Io, Store, "i-" + std::to_string(n), service, zone, version);
  target->listen(loopbackAddress(Net, 100, TargetPort + n));
  target->registerEntry();
  Targets.push_back(std::move(target));
  return *Targets.back();
}

ScriptedServer &
SimulatedPlatform::addScriptedTarget(const std::string &service,
                                     ScriptedServer::Script script) {
  int n = static_cast<int>(ScriptedTargets.size());
  std::string address = loopbackAddress(Net, 100, ScriptedPort + n);
  ScriptedTargets.push_back(
      std::make_unique<ScriptedServer>(Io, std::move(script)));
  ScriptedTargets.back()->listen(address);
  Store.put("servers/s-" + std::to_string(n),
            targetEntry(address, service, "tema-a"));
  return *ScriptedTargets.back();
}

void SimulatedPlatform::configure(const std::vector<std::string> &keys,
                                  const ConfigTimeouts &timeouts) {
  Json::Value config;
  config["version"] = Version += 3;
  config["routes"]["r-1"] = route("/tiles/", "safe", "tiles", timeouts.Route);
  config["routes"]["r-2"] =
      route("/permits/", "unsafe", "permits", timeouts.Route);
  for (const char *it : {"tiles", "permits"}) {
    config["services"][it]["maxConnections"] = 300;
    config["services"][it]["warmup"] = "3s";
    config["services"][it]["warmupPerS"] = 9.3;
  }
  config["limits"]["maxHeaderBytes"] = 16384;
  config["limits"]["maxBodyBytes"] = static_cast<Json::Int64>(MaxBodyBytes);
  config["limits"]["headerTimeout"] = "3000ms";
  config["limits"]["idleTimeout"] = milliseconds(timeouts.Idle);
  Json::Value &team = config["tenants"]["port"];
  team["priority"] = 1;
  team["requestsPerS"] = TeamRequestsPerSecond;
  team["burst"] = TeamRequestsPerSecond;
  team["apiKeys"] = Json::arrayValue;
  for (const std::string &it : keys)
    team["apiKeys"].append(it);
  Store.put("op/config", platform::writeJson(config));
}

std::string SimulatedPlatform::callerAddress(int n) const {
  return loopbackAddress(Net, n, CallerPort);
}

std::string SimulatedPlatform::lookupAddress(int n) const {
  return loopbackAddress(Net, n, LookupPort);
}

std::string SimulatedPlatform::readyAddress(int n) const {
  return loopbackAddress(Net, n, ReadyPort);
}

std::string SimulatedPlatform::peerAddress(int n) const {
  return loopbackAddress(Net, n, PeerPort);
}

std::string SimulatedPlatform::usageAddress() const {
  return loopbackAddress(Net, 1, UsagePort);
}

std::string SimulatedPlatform::storeAddress() const {
  return loopbackAddress(Net, 1, StorePort);
}

std::string SimulatedPlatform::storeAddress(int vm) const {
  return VmsWithStoreAddress.count(vm) ? loopbackAddress(Net, vm, StorePort)
                                       : storeAddress();
}

bool SimulatedPlatform::addStoreAddress(int vm) {
  VmsWithStoreAddress.insert(vm);
  return Store.listen(storeAddress(vm));
}

std::string SimulatedPlatform::vmSettings(int n,
                                          const std::string &zone) const {
  Json::Value value;
  std::string address = loopbackAddress(Net, n, 0);
  value["vm"] = "vm-" + std::to_string(n);
  value["zone"] = zone;
  value["region"] = "tema";
  value["address"] = address.substr(0, address.find(':'));
  value["zones"]["tema-a"] = "tema";
  value["zones"]["tema-b"] = "tema";
  value["caller_address"] = callerAddress(n);
  value["ready_address"] = readyAddress(n);
  value["lookup_address"] = lookupAddress(n);
  value["peer_port"] = std::to_string(PeerPort);
  value["store_address"] = storeAddress(n);
  value["repeat_slack"] = "60";
  if (DutyOn)
    addDutySettings(value, Usage.Rules, usageAddress());
  return platform::writeJson(value);
}

int SimulatedPlatform::runCount(const std::string &attempt) const {
  int runs = 0;
  for (const auto &it : Targets) {
    auto found = it->Runs.find(attempt);
    runs += found == it->Runs.end() ? 0 : found->second;
  }
  return runs;
}

} // namespace savorylb::standin
