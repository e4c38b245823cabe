#include "fault_injector.h"

#include "json_read.h"
#include "savorylb/clock.h"

#include <csignal>
#include <cstdio>
#include <sstream>

namespace savorylb::soak {
namespace {

using standin::PlatformStore;
using standin::StoreFaults;
using standin::TargetMode;
using standin::UsageFault;

constexpr int MinFaultIntervalMs = 350;
constexpr int MaxFaultIntervalMs = 850;
/// Large runs get one more process fault at a time for each of so many VMs.
constexpr std::size_t VmsPerExtraFault = 8;
/// Time for which an old and a new key are both valid, so that callers can
/// switch first.
constexpr Duration KeyOverlap = Millis(50);
/// Processes that received SIGTERM exit within their grace period.
constexpr Duration ExitTime = Seconds(4);

void setTargetMode(SoakFleet &fleet, std::size_t index, TargetMode mode) {
  fleet.Platform.Targets[index]->Mode = mode;
  std::vector<TimeSpan> &spans = fleet.TargetFaults[index];
  MonoTime now = monoNow();
  if (!spans.empty() && !spans.back().To)
    spans.back().To = now;
  if (mode != TargetMode::Serve)
    spans.push_back({now, {}});
}

} // namespace

FaultInjector::FaultInjector(SoakFleet &fleet)
    : Fleet(fleet), Random(fleet.Options.Seed),
      UsageRandom(fleet.Options.Seed) {}

Duration FaultInjector::randomSpan(int fromMs, int toMs) {
  return Millis(fromMs + randomBelow(toMs - fromMs));
}

void FaultInjector::later(Duration span, const std::function<void()> &what) {
  runAfter(Fleet, span, [this, what] {
    if (!Stopped)
      what();
  });
}

void FaultInjector::start() {
  changeTimeouts();
  // Each run has at least one restore.
  restoreStore();
  injectNext();
  injectUsageFault();
}

void FaultInjector::injectNext() {
  if (randomBelow(3) == 0)
    injectSeveral();
  else
    injectOne();
  for (std::size_t i = 0; i < Fleet.Vms.size() / VmsPerExtraFault; ++i) {
    ++Fleet.Report.Faults;
    injectProcessFault(randomVm());
  }
  later(randomSpan(MinFaultIntervalMs, MaxFaultIntervalMs),
        [this] { injectNext(); });
}

void FaultInjector::injectOne() {
  ++Fleet.Report.Faults;
  std::size_t kind = randomBelow(10);
  if (kind < 3)
    injectProcessFault(randomVm());
  else if (kind < 5)
    injectStoreFault(randomBelow(4));
  else if (kind < 7)
    injectTargetFault();
  else if (kind < 8)
    injectLinkFault();
  else if (kind < 9)
    changeTimeouts();
  else
    withdrawKey();
}

void FaultInjector::injectSeveral() {
  Fleet.Report.Faults += 2;
  switch (randomBelow(7)) {
  case 0: {
    std::size_t first = randomBelow(Fleet.Vms.size());
    std::size_t second = (first + 1) % Fleet.Vms.size();
    injectProcessFault(Fleet.Vms[first]);
    injectProcessFault(Fleet.Vms[second]);
    break;
  }
  case 1:
    terminateWhilePaused();
    break;
  case 2:
    hangupDuringConfigChange();
    break;
  case 3:
    restartDuringStoreOutage();
    break;
  case 4:
    changeConfigInSeries();
    break;
  case 5:
    restoreStore();
    break;
  default:
    injectTargetFault();
    injectProcessFault(randomVm());
    changeTimeouts();
    break;
  }
}

void FaultInjector::injectProcessFault(SoakVm &vm) {
  Duration span = randomSpan(100, 1600);
  switch (randomBelow(4)) {
  case 0:
    killVm(Fleet, vm);
    later(span, [this, &vm] { startVm(Fleet, vm); });
    break;
  case 1:
    terminateVm(Fleet, vm);
    break;
  case 2:
    hangup(vm);
    break;
  default:
    pauseVm(Fleet, vm);
    later(span, [this, &vm] { resumeVm(Fleet, vm); });
    break;
  }
}

void FaultInjector::terminateWhilePaused() {
  SoakVm &vm = randomVm();
  Duration pause = randomSpan(100, 1500);
  pauseVm(Fleet, vm);
  later(pause * randomBelow(100) / 100,
        [this, &vm] { terminateVm(Fleet, vm); });
  later(pause, [this, &vm] { resumeVm(Fleet, vm); });
}

void FaultInjector::hangupDuringConfigChange() {
  changeTimeouts();
  for (SoakVm &vm : Fleet.Vms)
    later(randomSpan(0, 300), [this, &vm] { hangup(vm); });
}

void FaultInjector::restartDuringStoreOutage() {
  SoakVm &vm = randomVm();
  killVm(Fleet, vm);
  injectStoreFault(randomBelow(2));
  later(randomSpan(50, 600), [this, &vm] { startVm(Fleet, vm); });
}

void FaultInjector::changeConfigInSeries() {
  Duration at{0};
  for (int i = 0; i < 5; ++i) {
    later(at, [this] { changeTimeouts(); });
    at += randomSpan(50, 500);
  }
}

void FaultInjector::restoreStore() {
  Fleet.Platform.Store.takeCopy();
  logLine(Fleet, "store copied");
  Duration age = randomSpan(300, 4000);
  later(age, [this] {
    StoreFaults faults;
    faults.Busy = true;
    Fleet.Platform.Store.setFaults(faults);
  });
  later(age + randomSpan(100, 1500), [this] { returnToCopy(); });
}

void FaultInjector::returnToCopy() {
  struct LostWrite {
    std::string Value;
    std::string CopiedValue;
  };
  PlatformStore &store = Fleet.Platform.Store;
  std::map<std::string, LostWrite> writes;
  writes["op/config"].Value = store.get("op/config");
  for (std::size_t i = 0; i < Fleet.Platform.Targets.size(); ++i) {
    std::string key = "servers/i-" + std::to_string(i);
    writes[key].Value = store.get(key);
  }
  store.restoreCopy();
  store.setFaults(StoreFaults());
  for (auto &[key, write] : writes)
    write.CopiedValue = store.get(key);
  logLine(Fleet, "store restored from its copy");
  // Runs also after the end of the faults, so that no write stays lost.
  runAfter(Fleet, randomSpan(0, 2000), [&store, writes] {
    for (const auto &[key, write] : writes) {
      // Another fault may have written a newer value.
      if (write.Value == write.CopiedValue ||
          store.get(key) != write.CopiedValue)
        continue;
      if (write.Value.empty())
        store.remove(key);
      else
        store.put(key, write.Value);
    }
  });
}

void FaultInjector::hangup(SoakVm &vm) {
  std::ifstream in(vm.SettingsFile);
  std::stringstream text;
  text << in.rdbuf();
  auto settings = platform::parseObject(text.str());
  int age = 1000 + ++SettingsChanges;
  (*settings)["lookup_max_age"] = std::to_string(age) + "ms";
  // The daemon must not read an incomplete file.
  std::string next = vm.SettingsFile + ".next";
  std::ofstream(next) << platform::writeJson(*settings);
  std::rename(next.c_str(), vm.SettingsFile.c_str());
  logLine(Fleet, "SIGHUP vm-" + std::to_string(vm.Number));
  vm.Process->signal(SIGHUP);
}

void FaultInjector::injectStoreFault(std::size_t variant) {
  StoreFaults faults;
  faults.Busy = variant == 0;
  faults.Silent = variant == 1;
  faults.DropResponses = variant == 2;
  faults.ExpireLeases = randomBelow(2) == 0;
  if (variant == 3)
    faults.Delay = Millis(randomBelow(400));
  if (randomBelow(3) == 0)
    Fleet.Platform.Store.compactHistory();
  Fleet.Platform.Store.setFaults(faults);
  logLine(Fleet, "store fault " + std::to_string(variant));
  later(randomSpan(300, 2800),
        [this] { Fleet.Platform.Store.setFaults(StoreFaults()); });
}

void FaultInjector::injectTargetFault() {
  static const TargetMode modes[] = {
      TargetMode::Shed,         TargetMode::Misdirected,
      TargetMode::DropResponse, TargetMode::WrongAttemptId,
      TargetMode::Unsigned,     TargetMode::Silent,
      TargetMode::Fail};
  std::size_t index = randomBelow(Fleet.Platform.Targets.size());
  std::size_t variant = randomBelow(5);
  standin::PlatformTarget &target = *Fleet.Platform.Targets[index];
  if (variant == 0)
    target.removeEntry();
  else if (variant == 1)
    target.registerEntry("draining");
  else if (variant == 2)
    target.ServiceTime = randomSpan(100, 1000);
  else
    setTargetMode(Fleet, index, modes[randomBelow(std::size(modes))]);
  logLine(Fleet, "target fault " + std::to_string(variant) + " at i-" +
                     std::to_string(index));
  runAfter(Fleet, randomSpan(300, 2300), [this, index] {
    standin::PlatformTarget &target = *Fleet.Platform.Targets[index];
    setTargetMode(Fleet, index, TargetMode::Serve);
    target.ServiceTime = NormalServiceTime;
    target.registerEntry();
  });
}

void FaultInjector::injectLinkFault() {
  std::size_t variant = randomBelow(4);
  LoopbackProxy *link = randomVm().StoreLink.get();
  if (variant == 0) {
    link->resetAll();
    return;
  }
  if (variant == 1) {
    link->stallAll();
    return;
  }
  ProxyFaults faults;
  faults.DropToServer = variant == 2;
  faults.DropToClient = variant == 3;
  link->setFaults(faults);
  later(randomSpan(300, 2800), [link] { link->setFaults(ProxyFaults()); });
}

void FaultInjector::injectUsageFault() {
  static const UsageFault faults[] = {UsageFault::Busy, UsageFault::Lost,
                                      UsageFault::Late, UsageFault::Reset};
  auto randomMs = [this](int from, int to) {
    return Millis(from + UsageRandom() % (to - from));
  };
  std::size_t variant = UsageRandom() % std::size(faults);
  Fleet.Platform.Usage.setFault(faults[variant], randomMs(100, 4000));
  logLine(Fleet, "usage fault " + std::to_string(variant));
  ++Fleet.Report.Faults;
  Duration end = randomMs(300, 2500);
  later(end, [this] { Fleet.Platform.Usage.setFault(UsageFault::None); });
  later(end + randomMs(500, 2500), [this] { injectUsageFault(); });
}

void FaultInjector::withdrawKey() {
  std::string old = Fleet.Key;
  Fleet.Key = "key-" + std::to_string(++LastKeyNumber);
  writeConfig({old, Fleet.Key});
  // Runs also after the end of the faults, so that the key does not stay valid.
  runAfter(Fleet, KeyOverlap, [this, old] {
    Fleet.WithdrawnKeys[old] = monoNow();
    writeConfig({Fleet.Key});
  });
}

void FaultInjector::changeTimeouts() {
  bool longIdle = randomBelow(5) == 0;
  Timeouts.Idle = Millis(longIdle ? 15'000 : 300 + randomBelow(700));
  Timeouts.Route = Millis(1000 + randomBelow(1000));
  writeConfig(Keys);
}

void FaultInjector::writeConfig(const std::vector<std::string> &keys) {
  Keys = keys;
  Fleet.IdleTimeouts.push_back({monoNow(), Timeouts.Idle});
  Fleet.Platform.configure(keys, Timeouts);
  logLine(Fleet, "configuration " + std::to_string(Fleet.Platform.Version) +
                     " idle " + std::to_string(Timeouts.Idle.count()) +
                     " ms route " + std::to_string(Timeouts.Route.count()) +
                     " ms");
}

void FaultInjector::stop() {
  Stopped = true;
  Fleet.Platform.Store.setFaults(StoreFaults());
  Fleet.Platform.Usage.setFault(UsageFault::None);
  for (SoakVm &it : Fleet.Vms) {
    it.StoreLink->setFaults(ProxyFaults());
    resumeVm(Fleet, it);
    startVm(Fleet, it);
  }
  runAfter(Fleet, ExitTime, [this] {
    for (SoakVm &it : Fleet.Vms)
      startVm(Fleet, it);
  });
}

} // namespace savorylb::soak
