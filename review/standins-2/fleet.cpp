#include "fleet.h"

#include "json_read.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using savorylb::HttpMessage;

namespace {

constexpr const char *Host = "permits.example";
constexpr const char *FirstKey = "s989anu6wsjnbanfqasn";

/// Ids of the started processes; 0 for those that have ended.
constexpr std::size_t MaxProcesses = 32;
volatile pid_t Started[MaxProcesses] = {};

void replaceStarted(pid_t from, pid_t to) {
  for (volatile pid_t &it : Started)
    if (it == from) {
      it = to;
      return;
    }
}

Json::Value durationText(Millis span) {
  return std::to_string(span.count()) + "ms";
}

/// The settings of a VM, with the names of platform/settings.json.in.
Json::Value settingsOf(const Vm &vm, const Fleet &fleet, SettingsKind kind) {
  Json::Value value;
  value["vm"] = vm.Name;
  value["zone"] = vm.Place.Name;
  value["region"] = vm.Place.Region;
  value["address"] = vm.Ip;
  for (const Zone &it : fleet.Zones)
    value["zones"][it.Name] = it.Region;
  value["caller_address"] = vm.callerAddress();
  value["ready_address"] = vm.readyAddress();
  value["lookup_address"] = vm.Ip + ":8684";
  value["peer_port"] = "7740";
  value["store_address"] = fleet.ip(2) + ":8682";
  value["min_lease"] = "1000ms";
  value["lookup_max_age"] = "5s";
  value["stop_grace"] = "6s";
  value["repeat_ratio"] = "0.2";
  value["repeat_window"] = "10s";
  value["repeat_slack"] = "60";
  for (const char *it :
       {"duties", "platform_api_address", "duty_calls_per_second", "duty_lease",
        "duty_lease_margin", "usage_window", "usage_due", "duty_fencing"})
    value[it] = "";
  if (kind == SettingsKind::WithRollouts) {
    value["trial_share"] = "0.1";
    value["trial_slack"] = "50";
    return value;
  }
  value["trial_share"] = "";
  value["trial_slack"] = "";
  value["load_report_interval"] = "300ms";
  value["object_replicas"] = "2";
  value["cached_objects"] = "22";
  value["overload_control"] = "on";
  value["compress_reports"] = "on";
  return value;
}

} // namespace

void killAllAndEnd(int status) {
  for (volatile pid_t &it : Started)
    if (it != 0)
      kill(it, SIGKILL);
  _exit(status);
}

Vm::~Vm() {
  if (!running())
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  replaceStarted(Pid, 0);
}

bool Vm::start(const std::string &program) {
  std::string log = Folder + "/" + Name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (int fd : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&actions, fd, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  // The sockets of the stand-ins stay with this process.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string path = program;
  std::string node = "SAVORYLB_NODE_FILE=" + settingsFile();
  std::string search = "PATH=/usr/bin:/bin";
  char *args[] = {path.data(), nullptr};
  char *environment[] = {node.data(), search.data(), nullptr};
  int failed =
      posix_spawn(&Pid, path.c_str(), &actions, nullptr, args, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (failed)
    Pid = 0;
  else
    replaceStarted(0, Pid);
  return !failed;
}

void Vm::signal(int number) const {
  if (Pid != 0)
    kill(Pid, number);
}

bool Vm::running() {
  if (Pid == 0)
    return false;
  if (waitpid(Pid, &Status, WNOHANG) == 0)
    return true;
  replaceStarted(Pid, 0);
  Pid = 0;
  return false;
}

Fleet::Fleet(std::string folder, std::string program, int net)
    : Folder(std::move(folder)), Program(std::move(program)), Net(net),
      Log(Folder + "/record.txt"), Platform(Io), StoreLink(Io, ip(1) + ":8682"),
      Keys({FirstKey}) {}

std::string Fleet::ip(int host) const {
  return "127.77." + std::to_string(Net) + "." + std::to_string(host);
}

Vm &Fleet::addVm(const Zone &zone) {
  int n = static_cast<int>(Vms.size()) + 1;
  Vms.push_back(
      std::make_unique<Vm>("frontend-" + zone.Name + "-" + std::to_string(n),
                           zone, ip(10 + n), Folder));
  return *Vms.back();
}

Instance &Fleet::addInstance(const std::string &service, const Zone &zone,
                             int slots, Duration runTime) {
  int n = static_cast<int>(Instances.size()) + 1;
  Instance::Options options;
  options.Id = "i-" + std::to_string(100 + n);
  options.Service = service;
  options.Zone = zone.Name;
  options.Address = ip(100 + n) + ":8601";
  options.Slots = slots;
  options.RunTime = runTime;
  Instances.push_back(
      std::make_unique<Instance>(Io, Platform, Log, Arrivals, options));
  return *Instances.back();
}

void Fleet::configure(const std::vector<Route> &routes) {
  Json::Value config;
  config["version"] = Version += 3;
  for (const Route &it : routes) {
    Json::Value &route = config["routes"][it.Name];
    route["host"] = Host;
    route["prefix"] = it.Prefix;
    route["kind"] = it.Kind;
    route["service"] = it.Service;
    route["timeout"] = durationText(it.Timeout);
    route["targetLatency"] = durationText(it.Target);
    route["priority"] = it.Priority;
    route["attempts"] = 2;
    route["public"] = false;
    route["sessionAffinity"] = it.Affinity;
    Json::Value &service = config["services"][it.Service];
    service["maxConnections"] = 360;
    service["healthCheckPath"] = "/health";
    service["warmup"] = "3s";
    service["warmupPerS"] = 9.3;
  }
  config["limits"]["maxHeaderBytes"] = 16384;
  config["limits"]["maxBodyBytes"] = 1048576;
  config["limits"]["headerTimeout"] = "3s";
  config["limits"]["idleTimeout"] = "15s";
  for (const std::string &it : Keys)
    config["tenants"]["cuka620"]["apiKeys"].append(it);
  Platform.put("op/config", savorylb::platform::writeJson(config));
}

bool Fleet::start(const std::vector<Route> &routes, SettingsKind kind) {
  if (!Platform.listen(ip(1) + ":8682") || !StoreLink.listen(ip(2) + ":8682"))
    return false;
  configure(routes);
  for (auto &it : Instances)
    if (!it->start())
      return false;
  for (auto &it : Vms) {
    std::ofstream(it->settingsFile())
        << savorylb::platform::writeJson(settingsOf(*it, *this, kind));
    if (!it->start(Program))
      return false;
  }
  return waitReady();
}

void Fleet::runFor(Duration span) {
  runUntil([] { return false; }, span);
}

bool Fleet::runUntil(const std::function<bool()> &condition, Duration limit) {
  MonoTime end = monoNow() + limit;
  while (!condition() && monoNow() < end) {
    Io.run_for(std::chrono::milliseconds(5));
    Io.restart();
  }
  return condition();
}

bool Fleet::waitReady() {
  auto ready = std::make_shared<std::vector<bool>>(Vms.size());
  auto all = [ready] {
    for (bool it : *ready)
      if (!it)
        return false;
    return true;
  };
  for (int i = 0; i < 40 && !all(); ++i) {
    for (std::size_t n = 0; n < Vms.size(); ++n) {
      auto connection = std::make_shared<savorylb::HttpConnection>(
          Io.get_executor(), 1 << 16);
      connection->connect(Vms[n]->readyAddress(), Millis(500),
                          [connection, ready, n](bool connected) {
                            if (!connected)
                              return;
                            HttpMessage request;
                            request.Method = "GET";
                            request.Path = "/readiness";
                            request.Fields = {{"Host", "ready"}};
                            savorylb::Exchange exchange;
                            exchange.Head = std::make_shared<std::string>(
                                requestHead(request));
                            exchange.Timeout = Millis(500);
                            exchange.Done = [connection, ready,
                                             n](savorylb::ExchangeOutcome end,
                                                HttpMessage &response) {
                              if (end == savorylb::ExchangeOutcome::Answered &&
                                  response.Status == 200)
                                (*ready)[n] = true;
                              connection->close();
                            };
                            connection->start(std::move(exchange));
                          });
    }
    runFor(Millis(250));
  }
  return all();
}

void Fleet::at(Duration span, const std::function<void()> &what) {
  auto timer = std::make_shared<asio::steady_timer>(Io, span);
  timer->async_wait(
      [what, timer](const boost::system::error_code &) { what(); });
}

std::string requestText(const ClientRequest &request) {
  HttpMessage message;
  message.Method = request.Method;
  message.Path = request.Path;
  message.Body = request.Body;
  message.Fields = {
      {"Host", Host},
      {"Savorylb-Attempt-Id", request.Attempt},
      {"Savorylb-Deadline-Milliseconds",
       std::to_string(request.Deadline.count())},
      {"Authorization",
       "Token " + (request.Key.empty() ? FirstKey : request.Key)}};
  if (!request.Object.empty())
    message.Fields.emplace_back("Cookie",
                                "Savorylb-Affinity-Key=" + request.Object);
  return requestHead(message) + message.Body;
}

void sendRequest(Fleet &fleet, const std::string &address,
                 const ClientRequest &request,
                 const std::function<void(const Outcome &)> &done) {
  auto connection = std::make_shared<savorylb::HttpConnection>(
      fleet.Io.get_executor(), 1 << 20);
  fleet.Log.line("client sends " + request.Method + " " + request.Path +
                 ", attempt " + request.Attempt + " to " + address);
  connection->connect(
      address, Seconds(1), [&fleet, connection, request, done](bool connected) {
        if (!connected) {
          done({});
          return;
        }
        savorylb::Exchange exchange;
        exchange.Head = std::make_shared<std::string>(requestText(request));
        exchange.Timeout = request.Deadline + Millis(500);
        exchange.Done = [&fleet, connection, request,
                         done](savorylb::ExchangeOutcome end,
                               HttpMessage &response) {
          Outcome outcome;
          if (end == savorylb::ExchangeOutcome::Answered) {
            outcome.Status = response.Status;
            outcome.Signed =
                findField(response, "Savorylb-Server-Signature") != nullptr;
            outcome.Body = response.Body;
          }
          fleet.Log.line("client gets " + std::to_string(outcome.Status) +
                         " for attempt " + request.Attempt);
          connection->close();
          done(outcome);
        };
        connection->start(std::move(exchange));
      });
}

} // namespace review
