#include "soak_fleet.h"

#include "json_read.h"
#include "savorylb/clock.h"

#include <algorithm>
#include <csignal>
#include <sys/wait.h>

namespace savorylb::soak {
namespace {

constexpr int ProxyPort = 8650;
/// Interval of the check whether a terminated process has ended, and the
/// tolerance of its grace period.
constexpr Duration ExitCheckInterval = Millis(50);
constexpr Duration ExitTolerance = Millis(300);
/// Interval of the check for processes that ended by themselves.
constexpr Duration EndCheckInterval = Millis(20);

std::string address(int net, int host, int port) {
  return "127.0." + std::to_string(net) + "." + std::to_string(host) + ":" +
         std::to_string(port);
}

std::string vmName(const SoakVm &vm) {
  return "vm-" + std::to_string(vm.Number);
}

bool hasOpen(const SoakVm &vm, DisruptionKind kind) {
  return std::any_of(
      vm.Disruptions.begin(), vm.Disruptions.end(),
      [kind](const Disruption &it) { return it.Kind == kind && !it.To; });
}

void closeOpen(SoakVm &vm, DisruptionKind kind) {
  for (Disruption &it : vm.Disruptions)
    if (it.Kind == kind && !it.To)
      it.To = monoNow();
}

/// \returns whether a process ended as the signals sent to it require: by
/// SIGKILL, or without an error after SIGTERM.
bool isPlannedEnd(const SoakVm &vm, int status) {
  if (WIFSIGNALED(status))
    return WTERMSIG(status) == SIGKILL && hasOpen(vm, DisruptionKind::Killed);
  return WEXITSTATUS(status) == 0 && hasOpen(vm, DisruptionKind::Terminated);
}

/// Adds a violation if the process ended in another way than planned.
void checkEnd(SoakFleet &fleet, SoakVm &vm) {
  if (vm.Process->running())
    return;
  std::optional<int> status = vm.Process->takeStatus();
  if (!status || isPlannedEnd(vm, *status))
    return;
  std::string how = WIFSIGNALED(*status)
                        ? "signal " + std::to_string(WTERMSIG(*status))
                        : "status " + std::to_string(WEXITSTATUS(*status));
  addViolation(fleet, vmName(vm) + ": ended by itself with " + how);
}

/// Starts processes again that ended without a signal of the soak.
void checkEnds(SoakFleet &fleet) {
  for (SoakVm &it : fleet.Vms) {
    checkEnd(fleet, it);
    if (!hasOpen(it, DisruptionKind::Killed) &&
        !hasOpen(it, DisruptionKind::Terminated))
      startVm(fleet, it);
  }
  runAfter(fleet, EndCheckInterval, [&fleet] { checkEnds(fleet); });
}

void restartAfterExit(SoakFleet &fleet, SoakVm &vm, MonoTime stoppedAt) {
  // Another fault may have started a new process already.
  if (!hasOpen(vm, DisruptionKind::Terminated))
    return;
  MonoTime now = monoNow();
  if (!vm.Process->running()) {
    startVm(fleet, vm);
    return;
  }
  if (now > stoppedAt + GracePeriod + ExitTolerance) {
    bool paused = std::any_of(vm.Disruptions.begin(), vm.Disruptions.end(),
                              [stoppedAt](const Disruption &it) {
                                return it.Kind == DisruptionKind::Paused &&
                                       (!it.To || *it.To >= stoppedAt);
                              });
    if (!paused)
      addViolation(fleet, vmName(vm) + ": did not end in its grace period");
    killVm(fleet, vm);
  }
  runAfter(fleet, ExitCheckInterval, [&fleet, &vm, stoppedAt] {
    restartAfterExit(fleet, vm, stoppedAt);
  });
}

} // namespace

void runAfter(SoakFleet &fleet, Duration span,
              const std::function<void()> &what) {
  auto timer = std::make_shared<asio::steady_timer>(fleet.Io, span);
  timer->async_wait(
      [what, timer](const boost::system::error_code &) { what(); });
}

void logLine(SoakFleet &fleet, const std::string &text) {
  fleet.Log << wallNow().time_since_epoch().count() << " " << text << std::endl;
}

void addViolation(SoakFleet &fleet, const std::string &what) {
  fleet.Report.Violations.push_back(what);
  logLine(fleet, "violation: " + what);
}

bool startFleet(SoakFleet &fleet) {
  const SoakOptions &options = fleet.Options;
  fleet.Log.open(options.Folder + "/soak.log");
  bool bound = fleet.Platform.start(options.Net);
  fleet.Platform.DutyOn = true;
  fleet.IdleTimeouts.push_back({monoNow(), standin::ConfigTimeouts().Idle});
  for (int i = 0; i < options.Targets; ++i)
    for (const char *service : {"tiles", "permits"})
      fleet.Platform.addTarget(service, i % 2 ? "tema-a" : "tema-b")
          .ServiceTime = NormalServiceTime;
  fleet.Vms.resize(options.Vms);
  for (int i = 0; i < options.Vms; ++i) {
    SoakVm &vm = fleet.Vms[i];
    vm.Number = i + 2;
    std::string zone = i % 2 ? "tema-a" : "tema-b";
    auto settings =
        platform::parseObject(fleet.Platform.vmSettings(vm.Number, zone));
    std::string store = (*settings)["store_address"].asString();
    std::string proxy = address(options.Net, vm.Number, ProxyPort);
    (*settings)["store_address"] = proxy;
    vm.StoreLink = std::make_unique<LoopbackProxy>(fleet.Io, store);
    bound = bound && vm.StoreLink->listen(proxy);
    std::string base = options.Folder + "/" + vmName(vm);
    vm.SettingsFile = base + ".json";
    std::ofstream(vm.SettingsFile) << platform::writeJson(*settings);
    vm.Process = std::make_unique<VmProcess>(options.Program, vm.SettingsFile,
                                             base + ".log");
    bound = bound && vm.Process->start();
  }
  checkEnds(fleet);
  return bound;
}

void startVm(SoakFleet &fleet, SoakVm &vm) {
  if (vm.Process->running())
    return;
  checkEnd(fleet, vm);
  vm.Process->start();
  for (DisruptionKind it : {DisruptionKind::Killed, DisruptionKind::Paused,
                            DisruptionKind::Terminated})
    closeOpen(vm, it);
  logLine(fleet, "start " + vmName(vm));
}

void killVm(SoakFleet &fleet, SoakVm &vm) {
  if (!vm.Process->running())
    return;
  vm.Disruptions.push_back({DisruptionKind::Killed, monoNow(), {}});
  logLine(fleet, "SIGKILL " + vmName(vm));
  vm.Process->signal(SIGKILL);
}

void terminateVm(SoakFleet &fleet, SoakVm &vm) {
  if (hasOpen(vm, DisruptionKind::Terminated) || !vm.Process->running())
    return;
  MonoTime now = monoNow();
  vm.Disruptions.push_back({DisruptionKind::Terminated, now, {}});
  logLine(fleet, "SIGTERM " + vmName(vm));
  vm.Process->signal(SIGTERM);
  restartAfterExit(fleet, vm, now);
}

void pauseVm(SoakFleet &fleet, SoakVm &vm) {
  if (!vm.Process->running())
    return;
  vm.Disruptions.push_back({DisruptionKind::Paused, monoNow(), {}});
  logLine(fleet, "SIGSTOP " + vmName(vm));
  vm.Process->signal(SIGSTOP);
}

void resumeVm(SoakFleet &fleet, SoakVm &vm) {
  if (!hasOpen(vm, DisruptionKind::Paused))
    return;
  vm.Process->signal(SIGCONT);
  closeOpen(vm, DisruptionKind::Paused);
  logLine(fleet, "SIGCONT " + vmName(vm));
}

bool ranAtSoundTarget(const SoakFleet &fleet, const std::string &attempt,
                      MonoTime from, MonoTime to) {
  for (std::size_t i = 0; i < fleet.Platform.Targets.size(); ++i) {
    auto faults = fleet.TargetFaults.find(i);
    if (fleet.Platform.Targets[i]->Runs.count(attempt) &&
        (faults == fleet.TargetFaults.end() ||
         !overlapsAny(faults->second, from, to)))
      return true;
  }
  return false;
}

} // namespace savorylb::soak
