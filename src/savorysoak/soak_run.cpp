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

constexpr Duration SendEvery = Millis(8);
constexpr Duration FaultEvery = Millis(350);
constexpr int TargetsEach = 4;
constexpr int ProxyPort = 8650;
/// A withdrawn key may work this long: the time in which a configuration has
/// to be in force, and as much again as an unstable store may add.
constexpr Duration KeyWorksFor = Millis(7500);
/// From the end of the faults to when requests are served again.
constexpr Duration RecoveryTime = Seconds(8);
constexpr Duration CalmTime = Seconds(3);
constexpr double ServedWhenCalm = 0.95;
constexpr Duration StartTime = Millis(1500);

std::string address(int net, int host, int port) {
  return "127.0." + std::to_string(net) + "." + std::to_string(host) + ":" +
         std::to_string(port);
}

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : Options(options), World(Io), Random(options.Seed), SendTimer(Io),
      FaultTimer(Io) {}

std::size_t SoakRun::pick(std::size_t n) { return Random() % n; }

void SoakRun::violated(const std::string &what) {
  Report.Violations.push_back(what);
}

void SoakRun::after(Duration span, const std::function<void()> &what) {
  auto timer = std::make_shared<asio::steady_timer>(Io, span);
  timer->async_wait(
      [what, timer](const boost::system::error_code &) { what(); });
}

bool SoakRun::startWorld() {
  bool bound = World.start(Options.Net);
  for (int i = 0; i < TargetsEach; ++i) {
    World.addTarget("tiles", i % 2 ? "tema-a" : "tema-b").Work = Millis(20);
    World.addTarget("permits", i % 2 ? "tema-a" : "tema-b").Work = Millis(20);
  }
  for (int i = 0; i < Options.Vms; ++i) {
    int n = i + 2;
    std::string text = World.vmSettings(n, i % 2 ? "tema-a" : "tema-b");
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
  if (!startWorld()) {
    violated("the world could not be started");
    return Report;
  }
  after(StartTime, [this] {
    sendNext();
    injectNext();
  });
  Duration faults = StartTime + Duration(Seconds(Options.Seconds));
  after(faults, [this] { heal(); });
  after(faults + RecoveryTime, [this] { Calm = true; });
  after(faults + RecoveryTime + CalmTime, [this] {
    Calm = false;
    SendTimer.cancel();
  });
  // Requests on their way end before the last check.
  after(faults + RecoveryTime + CalmTime + Seconds(4), [this] { Io.stop(); });
  Io.run();
  checkRuns();
  if (CalmServed < ServedWhenCalm * CalmSent || CalmSent == 0)
    violated("only " + std::to_string(CalmServed) + " of " +
             std::to_string(CalmSent) + " served after the faults");
  return Report;
}

void SoakRun::sendNext() {
  CallerRequest request;
  request.Attempt =
      "s" + std::to_string(Options.Seed) + "-" + std::to_string(Report.Sent++);
  bool once = pick(2) == 0;
  if (once) {
    request.Method = "POST";
    request.Path = "/permits/1";
    request.Body = "zone";
  }
  request.Object = std::to_string(pick(20));
  request.Patience = Millis(1500);
  request.Key = Key;
  if (!Withdrawn.empty() && pick(10) == 0)
    request.Key = Withdrawn.begin()->first;
  Attempts[request.Attempt] = {once, request.Key, monoNow()};
  int n = static_cast<int>(pick(Vms.size())) + 2;
  std::string attempt = request.Attempt;
  auto connection =
      standin::callVm(Io, World.callerAddress(n), request,
                      [this, attempt](const CallerResult &result) {
                        onResult(attempt, result);
                      });
  if (!Calm && pick(40) == 0)
    after(Millis(10), [connection] { connection->close(); });
  CalmSent += Calm && request.Key == Key;
  SendTimer.expires_after(SendEvery);
  SendTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      sendNext();
  });
}

void SoakRun::onResult(const std::string &attempt, const CallerResult &result) {
  const Sent &sent = Attempts[attempt];
  Statuses[attempt] = result.Status;
  bool success = result.Status == 200;
  Report.Served += success;
  Report.Refused += standin::promised(result.Status);
  Report.Unknown += !success && !standin::promised(result.Status);
  CalmServed += Calm && success;
  if (success && (!result.Signed || result.Body != "answer to " + attempt))
    violated(attempt + ": a success that is not its own answer");
  auto withdrawn = Withdrawn.find(sent.Key);
  if (success && withdrawn != Withdrawn.end() &&
      sent.At > withdrawn->second + KeyWorksFor)
    violated(attempt + ": served with a key that was withdrawn long before");
  if (result.Status == 404)
    violated(attempt + ": 404 for a route that every version has");
}

void SoakRun::checkRuns() {
  for (const auto &[attempt, sent] : Attempts) {
    int runs = World.runsOf(attempt);
    if (sent.Once && runs > 1)
      violated(attempt + ": ran " + std::to_string(runs) + " times");
    auto status = Statuses.find(attempt);
    if (sent.Once && runs > 0 && status != Statuses.end() &&
        standin::promised(status->second))
      violated(attempt + ": ran though it was refused with " +
               std::to_string(status->second));
  }
  for (const auto &it : World.Targets)
    if (it->KeysSeen > 0)
      violated("a target was shown a key");
}

void SoakRun::injectNext() {
  if (Calm)
    return;
  ++Report.Faults;
  int kind = static_cast<int>(pick(9));
  int which = static_cast<int>(pick(4));
  if (kind < 3)
    injectProcess(which);
  else if (kind < 5)
    injectStore(which);
  else if (kind < 7)
    injectTarget(which);
  else if (kind < 8)
    injectLink(which);
  else
    withdrawKey();
  FaultTimer.expires_after(FaultEvery + Millis(pick(500)));
  FaultTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      injectNext();
  });
}

void SoakRun::injectProcess(int which) {
  VmProcess *vm = Vms[pick(Vms.size())].get();
  Duration later = Millis(100 + pick(1500));
  switch (which) {
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
  after(later, [vm] {
    vm->signal(SIGCONT);
    vm->start();
  });
}

void SoakRun::injectStore(int which) {
  StoreFaults faults;
  faults.Busy = which == 0;
  faults.Silent = which == 1;
  faults.LoseAnswers = which == 2;
  faults.Lapse = pick(2) == 0;
  if (which == 3)
    faults.Delay = Millis(pick(400));
  if (pick(3) == 0)
    World.Store.forgetHistory();
  World.Store.setFaults(faults);
  after(Millis(300 + pick(2500)),
        [this] { World.Store.setFaults(StoreFaults()); });
}

void SoakRun::injectTarget(int which) {
  static const TargetMode modes[] = {
      TargetMode::Shed,        TargetMode::OtherTarget, TargetMode::LoseAnswer,
      TargetMode::CrossAnswer, TargetMode::Unsigned,    TargetMode::Silent,
      TargetMode::Fail};
  standin::PlatformTarget *target =
      World.Targets[pick(World.Targets.size())].get();
  if (which == 0) {
    target->leave();
  } else if (which == 1) {
    target->enter("draining");
  } else {
    target->Mode = modes[pick(std::size(modes))];
  }
  after(Millis(300 + pick(2000)), [target] {
    target->Mode = TargetMode::Serve;
    target->enter();
  });
}

void SoakRun::injectLink(int which) {
  LoopbackProxy *link = StoreLinks[pick(StoreLinks.size())].get();
  if (which == 0) {
    link->resetAll();
    return;
  }
  if (which == 1) {
    link->silenceAll();
    return;
  }
  ProxyFaults faults;
  faults.DropToServer = which == 2;
  faults.DropToClient = which == 3;
  link->setFaults(faults);
  after(Millis(300 + pick(2500)), [link] { link->setFaults(ProxyFaults()); });
}

void SoakRun::withdrawKey() {
  std::string old = Key;
  Key = "key-" + std::to_string(++Keys);
  // Callers hold the new key before the old one is withdrawn.
  World.configure({old, Key});
  after(Millis(50), [this, old] {
    Withdrawn[old] = monoNow();
    World.configure({Key});
  });
}

void SoakRun::heal() {
  FaultTimer.cancel();
  World.Store.setFaults(StoreFaults());
  for (const auto &it : StoreLinks)
    it->setFaults(ProxyFaults());
  for (const auto &it : Vms) {
    it->signal(SIGCONT);
    it->start();
  }
  // Processes that were told to stop end in a few seconds.
  after(Seconds(4), [this] {
    for (const auto &it : Vms)
      it->start();
  });
}

} // namespace savorylb::soak
