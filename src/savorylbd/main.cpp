// The traffic steering daemon, which runs on each VM of the fleet.

#include "admin_server.h"
#include "caller_server.h"
#include "control_loop.h"
#include "daemon.h"
#include "drain.h"
#include "peer_service.h"
#include "savorylb/clock.h"
#include "savorylb/digest.h"
#include "savorylb/event_log.h"
#include "savorylb/store_client_http.h"
#include "savorylb/target_client_http.h"
#include "savorylb/vm_list_client_http.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace savorylb;

namespace {

constexpr Duration StoreTimeout = Seconds(1);
constexpr Duration PeerStopLimit = Seconds(1);

volatile std::sig_atomic_t StopRequested = 0;

void requestStop(int) { StopRequested = 1; }

void installSignals() {
  std::signal(SIGTERM, requestStop);
  std::signal(SIGINT, requestStop);
  std::signal(SIGPIPE, SIG_IGN);
}

bool readFile(const std::string &path, std::string &text) {
  std::ifstream in(path);
  if (!in)
    return false;
  std::ostringstream out;
  out << in.rdbuf();
  text = out.str();
  return true;
}

/// Waits for a signal or an operator's drain request, and begins the drain.
void waitForStop(Daemon &daemon) {
  while (!StopRequested && !daemon.Departing)
    std::this_thread::sleep_for(Millis(50));
  beginDrain(daemon);
}

int runDaemon(const Settings &settings) {
  Daemon daemon;
  daemon.Conf = settings;
  daemon.SelfIncarnation = Incarnation(randomHex(8));
  daemon.StartedAt = monoNow();
  daemon.Membership.Grants.GraceStartedAt = daemon.StartedAt;
  daemon.Membership.OwnLease.LastTick = daemon.StartedAt;
  daemon.Store = makeHttpStoreClient(settings.StoreUrl, StoreTimeout);
  if (settings.AllowFaultInjection)
    daemon.Store = partitionedStore(daemon, daemon.Store);
  if (!settings.VmListUrl.empty())
    daemon.VmList = makeHttpVmListClient(settings.VmListUrl, StoreTimeout);
  daemon.Targets = makeHttpTargetClient();
  refreshViews(daemon);
  PeerServer peers = startPeerServer(daemon);
  auto admin = startAdminServer(daemon);
  auto callers = startCallerServer(daemon);
  if (!peers.Server || !admin || !callers) {
    std::cerr
        << "savorylbd: cannot listen on the caller, peer or admin port of "
        << settings.Address << ": in use or not permitted\n";
    return 3;
  }
  logEvent(EventCode::DaemonStarted,
           {{"incarnation", daemon.SelfIncarnation.Value},
            {"zone", settings.Zone.Value},
            {"caller_port", std::int64_t(settings.CallerPort)}});
  ControlThreads threads = startControlThreads(daemon);
  waitForStop(daemon);
  finishDrain(daemon, *callers);
  {
    std::lock_guard<std::mutex> guard(daemon.StopLock);
    daemon.Stopping = true;
  }
  daemon.StopSignal.notify_all();
  for (std::thread &it : threads)
    it.join();
  peers.Server->Shutdown(std::chrono::system_clock::now() + PeerStopLimit);
  admin->stop();
  // Exit without destructors: replies to asynchronous calls may still refer to
  // the daemon.
  closeEventLog();
  std::_Exit(0);
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"savorylbd: the traffic steering daemon, which runs on "
               "each VM of the fleet"};
  std::string path;
  bool checkOnly = false;
  app.add_option("--config", path, "settings file, JSON with comments")
      ->required();
  app.add_flag("--check-config", checkOnly,
               "check the settings, print all findings and exit");
  CLI11_PARSE(app, argc, argv);
  std::string text;
  if (!readFile(path, text)) {
    std::cerr << path << ": cannot be read\n";
    return 1;
  }
  Findings findings;
  Settings settings = parseSettings(path, text, findings);
  if (!findings.empty()) {
    std::cerr << formatFindings(findings);
    return 1;
  }
  if (checkOnly) {
    std::cout << path << ": ok\n";
    return 0;
  }
  openEventLog(settings.LogFile, settings.Vm.Value);
  installSignals();
  return runDaemon(settings);
}
