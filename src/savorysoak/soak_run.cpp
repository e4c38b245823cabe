#include "soak_run.h"

#include "json_read.h"
#include "savorylb/clock.h"

#include <csignal>
#include <fstream>

namespace savorylb::soak {
namespace {

using standin::CallerRequest;
using standin::CallerResult;
using standin::StoreFaults;
using standin::TargetMode;

constexpr Duration SendInterval = Millis(8);
constexpr Duration MinFaultInterval = Millis(350);
constexpr int TargetsPerService = 4;
constexpr int ProxyPort = 8650;
/// Time for which a withdrawn key may still be accepted: three times the 2.5 s
/// within which a configuration must be in force, because store faults delay
/// it.
constexpr Duration WithdrawnKeyGrace = Millis(7500);
/// Time from the end of the faults until requests have to be served again.
constexpr Duration RecoveryTime = Seconds(8);
/// Duration of the check after the recovery, and the minimum ratio of served to
/// sent requests in it.
constexpr Duration RecoveryCheckTime = Seconds(3);
constexpr double MinServedRatioAfterRecovery = 0.95;
/// Time from the start of the daemons to the first request and the first fault.
constexpr Duration StartupTime = Millis(1500);

std::string address(int net, int host, int port) {
  return "127.0." + std::to_string(net) + "." + std::to_string(host) + ":" +
         std::to_string(port);
}

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : Options(options), Platform(Io), Random(options.Seed), SendTimer(Io),
      FaultTimer(Io) {}

std::size_t SoakRun::randomBelow(std::size_t n) { return Random() % n; }

void SoakRun::addViolation(const std::string &what) {
  Report.Violations.push_back(what);
}

void SoakRun::runAfter(Duration span, const std::function<void()> &what) {
  auto timer = std::make_shared<asio::steady_timer>(Io, span);
  timer->async_wait(
      [what, timer](const boost::system::error_code &) { what(); });
}

bool SoakRun::startPlatform() {
  bool bound = Platform.start(Options.Net);
  for (int i = 0; i < TargetsPerService; ++i) {
    Platform.addTarget("tiles", i % 2 ? "tema-a" : "tema-b").ServiceTime =
        Millis(20);
    Platform.addTarget("permits", i % 2 ? "tema-a" : "tema-b").ServiceTime =
        Millis(20);
  }
  for (int i = 0; i < Options.Vms; ++i) {
    int n = i + 2;
    std::string text = Platform.vmSettings(n, i % 2 ? "tema-a" : "tema-b");
    auto settings = platform::parseObject(text);
    std::string store = (*settings)["store_address"].asString();
    std::string proxy = address(Options.Net, n, ProxyPort);
    (*settings)["store_address"] = proxy;
    StoreLinks.push_back(std::make_unique<LoopbackProxy>(Io, store));
    bound = bound && StoreLinks.back()->listen(proxy);
    std::string base = Options.Folder + "/vm-" + std::to_string(n);
    std::ofstream(base + ".json") << platform::writeJson(*settings);
    Vms.push_back(std::make_unique<VmProcess>(Options.Program, base + ".json",
                                              base + ".log"));
    bound = bound && Vms.back()->start();
  }
  return bound;
}

SoakReport SoakRun::run() {
  if (!startPlatform()) {
    addViolation("the simulated platform or a daemon could not be started");
    return Report;
  }
  runAfter(StartupTime, [this] {
    sendNext();
    injectNextFault();
  });
  Duration faultsEnd = StartupTime + Duration(Seconds(Options.Seconds));
  runAfter(faultsEnd, [this] { clearFaults(); });
  runAfter(faultsEnd + RecoveryTime, [this] { CheckingRecovery = true; });
  runAfter(faultsEnd + RecoveryTime + RecoveryCheckTime, [this] {
    CheckingRecovery = false;
    SendTimer.cancel();
  });
  // Requests in flight finish before the final check.
  runAfter(faultsEnd + RecoveryTime + RecoveryCheckTime + Seconds(4),
           [this] { Io.stop(); });
  Io.run();
  checkRuns();
  if (RecoveryServed < MinServedRatioAfterRecovery * RecoverySent ||
      RecoverySent == 0)
    addViolation("only " + std::to_string(RecoveryServed) + " of " +
                 std::to_string(RecoverySent) + " served after the faults");
  return Report;
}

void SoakRun::sendNext() {
  CallerRequest request;
  request.Attempt =
      "s" + std::to_string(Options.Seed) + "-" + std::to_string(Report.Sent++);
  bool once = randomBelow(2) == 0;
  if (once) {
    request.Method = "POST";
    request.Path = "/permits/1";
    request.Body = "zone";
  }
  request.AffinityKey = std::to_string(randomBelow(20));
  request.Timeout = Millis(1500);
  request.Key = Key;
  if (!WithdrawnKeys.empty() && randomBelow(10) == 0)
    request.Key = WithdrawnKeys.begin()->first;
  Attempts[request.Attempt] = {once, request.Key, monoNow()};
  int n = static_cast<int>(randomBelow(Vms.size())) + 2;
  std::string attempt = request.Attempt;
  auto connection =
      standin::callVm(Io, Platform.callerAddress(n), request,
                      [this, attempt](const CallerResult &result) {
                        onResult(attempt, result);
                      });
  if (!CheckingRecovery && randomBelow(40) == 0)
    runAfter(Millis(10), [connection] { connection->close(); });
  RecoverySent += CheckingRecovery && request.Key == Key;
  SendTimer.expires_after(SendInterval);
  SendTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      sendNext();
  });
}

void SoakRun::onResult(const std::string &attempt, const CallerResult &result) {
  const SentRequest &sent = Attempts[attempt];
  Statuses[attempt] = result.Status;
  bool success = result.Status == 200;
  Report.Served += success;
  Report.Refused += standin::guaranteesNotRun(result.Status);
  Report.Unknown += !success && !standin::guaranteesNotRun(result.Status);
  RecoveryServed += CheckingRecovery && success;
  if (success &&
      (!result.HasSignature || result.Body != "answer to " + attempt))
    addViolation(attempt +
                 ": a success that is unsigned or answers another request");
  auto withdrawn = WithdrawnKeys.find(sent.Key);
  if (success && withdrawn != WithdrawnKeys.end() &&
      sent.SentAt > withdrawn->second + WithdrawnKeyGrace)
    addViolation(attempt + ": served with a key after its withdrawal grace");
  if (result.Status == 404)
    addViolation(attempt +
                 ": 404 for a route that exists in every configuration");
}

void SoakRun::checkRuns() {
  for (const auto &[attempt, sent] : Attempts) {
    int runs = Platform.runCount(attempt);
    if (sent.AtMostOnce && runs > 1)
      addViolation(attempt + ": ran " + std::to_string(runs) + " times");
    auto status = Statuses.find(attempt);
    if (sent.AtMostOnce && runs > 0 && status != Statuses.end() &&
        standin::guaranteesNotRun(status->second))
      addViolation(attempt + ": ran though it was refused with " +
                   std::to_string(status->second));
  }
  for (const auto &it : Platform.Targets)
    if (it->KeysSeen > 0)
      addViolation("a target received a caller's key");
}

void SoakRun::injectNextFault() {
  if (CheckingRecovery)
    return;
  ++Report.Faults;
  int kind = static_cast<int>(randomBelow(9));
  int variant = static_cast<int>(randomBelow(4));
  if (kind < 3)
    injectProcessFault(variant);
  else if (kind < 5)
    injectStoreFault(variant);
  else if (kind < 7)
    injectTargetFault(variant);
  else if (kind < 8)
    injectLinkFault(variant);
  else
    withdrawKey();
  FaultTimer.expires_after(MinFaultInterval + Millis(randomBelow(500)));
  FaultTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      injectNextFault();
  });
}

void SoakRun::injectProcessFault(int variant) {
  VmProcess *vm = Vms[randomBelow(Vms.size())].get();
  Duration later = Millis(100 + randomBelow(1500));
  switch (variant) {
  case 0:
    vm->signal(SIGKILL);
    break;
  case 1:
    vm->signal(SIGTERM);
    break;
  case 2:
    vm->signal(SIGHUP);
    break;
  default:
    vm->signal(SIGSTOP);
    break;
  }
  runAfter(later, [vm] {
    vm->signal(SIGCONT);
    vm->start();
  });
}

void SoakRun::injectStoreFault(int variant) {
  StoreFaults faults;
  faults.Busy = variant == 0;
  faults.Silent = variant == 1;
  faults.DropResponses = variant == 2;
  faults.ExpireLeases = randomBelow(2) == 0;
  if (variant == 3)
    faults.Delay = Millis(randomBelow(400));
  if (randomBelow(3) == 0)
    Platform.Store.compactHistory();
  Platform.Store.setFaults(faults);
  runAfter(Millis(300 + randomBelow(2500)),
           [this] { Platform.Store.setFaults(StoreFaults()); });
}

void SoakRun::injectTargetFault(int variant) {
  static const TargetMode modes[] = {
      TargetMode::Shed,         TargetMode::Misdirected,
      TargetMode::DropResponse, TargetMode::WrongAttemptId,
      TargetMode::Unsigned,     TargetMode::Silent,
      TargetMode::Fail};
  standin::PlatformTarget *target =
      Platform.Targets[randomBelow(Platform.Targets.size())].get();
  if (variant == 0) {
    target->removeEntry();
  } else if (variant == 1) {
    target->registerEntry("draining");
  } else {
    target->Mode = modes[randomBelow(std::size(modes))];
  }
  runAfter(Millis(300 + randomBelow(2000)), [target] {
    target->Mode = TargetMode::Serve;
    target->registerEntry();
  });
}

void SoakRun::injectLinkFault(int variant) {
  LoopbackProxy *link = StoreLinks[randomBelow(StoreLinks.size())].get();
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
  runAfter(Millis(300 + randomBelow(2500)),
           [link] { link->setFaults(ProxyFaults()); });
}

void SoakRun::withdrawKey() {
  std::string old = Key;
  Key = "key-" + std::to_string(++LastKeyNumber);
  // Both keys are valid for a while, so that callers can switch first.
  Platform.configure({old, Key});
  runAfter(Millis(50), [this, old] {
    WithdrawnKeys[old] = monoNow();
    Platform.configure({Key});
  });
}

void SoakRun::clearFaults() {
  FaultTimer.cancel();
  Platform.Store.setFaults(StoreFaults());
  for (const auto &it : StoreLinks)
    it->setFaults(ProxyFaults());
  for (const auto &it : Vms) {
    it->signal(SIGCONT);
    it->start();
  }
  // Processes that received SIGTERM exit within a few seconds.
  runAfter(Seconds(4), [this] {
    for (const auto &it : Vms)
      it->start();
  });
}

} // namespace savorylb::soak
