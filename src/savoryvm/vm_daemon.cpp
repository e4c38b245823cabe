#include "vm_daemon.h"

#include "documents.h"
#include "edge_protocol.h"
#include "peer_codec.h"
#include "request_runner.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <fstream>
#include <random>
#include <sstream>

namespace savorylb {
namespace {

constexpr Duration TickEvery = Millis(100);
constexpr Duration ReportEvery = Millis(1000);
constexpr Duration ReloadEvery = Millis(2000);
/// How long a watch waits, and the pause between two watches of one prefix, in
/// which changes are collected. A connection that fell silent is noticed after
/// the wait and one call's timeout. Configurations have to be in force within
/// 2.5 s, targets that leave have to be left within 2.5 s; the entries of VMs
/// also come from the VMs themselves.
constexpr Millis OperatorWait(2500);
constexpr Duration OperatorPause = Millis(150);
constexpr Millis TargetWait(2000);
constexpr Duration TargetPause = Millis(600);
constexpr Millis SystemWait(3000);
constexpr Duration SystemPause = Millis(1500);
/// Callers ask again after this; a VM that stops is left by then.
constexpr Duration LookupAge = Millis(2000);
/// Without an answer for this long the store counts as unreachable.
constexpr Duration StoreSilence = Millis(3200);
/// Bytes of one response that a VM of 256 MB can hold several times.
constexpr std::int64_t MaxResponseBytes = 32 << 20;
/// A VM keeps accepting callers for this long after the stop signal, and keeps
/// this much of the grace for its end.
constexpr Duration AcceptAfterStop = Millis(2800);
constexpr Duration StopReserve = Millis(400);
/// A rollout's change is not written again before its answer is known.
constexpr Duration RolloutWriteEvery = Millis(1200);
constexpr int MetricsPort = 9464;

HttpMessage rejection(int status, const char *reason) {
  return platform::ownResponse(status, reason, Duration::zero());
}

std::string newStart() {
  std::random_device random;
  std::ostringstream out;
  out << std::hex << random() << random();
  return out.str();
}

std::string peerAddress(const VmSettings &settings) {
  return settings.Address + ":" + std::to_string(settings.PeerPort);
}

VmEntry selfEntry(const VmSettings &settings) {
  VmEntry entry;
  entry.Vm = settings.Vm;
  entry.Zone = settings.Zone;
  entry.Region = settings.Region;
  entry.CallerAddress = settings.CallerAddress;
  entry.PeerAddress = peerAddress(settings);
  entry.StartId = newStart();
  return entry;
}

SteeringState initialState(const VmSettings &settings) {
  SteeringState state;
  state.Zones = settings.Zones;
  state.Fleet.Self = selfEntry(settings);
  return state;
}

void setBounds(SteeringState &state, const VmSettings &settings) {
  state.Bounds.Retries.Ratio = settings.RepeatRatio;
  state.Bounds.Retries.Slack = settings.RepeatSlack;
  state.Bounds.Retries.Window = settings.RepeatWindow;
  state.Bounds.TrialShare = settings.TrialShare;
}

} // namespace

VmDaemon::VmDaemon(asio::io_context &io, const VmSettings &settings,
                   std::string settingsFile)
    : Io(io), Settings(settings), SettingsFile(std::move(settingsFile)),
      State(initialState(settings)), Pool(io, MaxResponseBytes),
      Callers(
          io, [this](const auto &request) { serveCaller(request); }, rejection),
      Readiness(
          io, [this](const auto &request) { serveReadiness(request); },
          rejection),
      Lookups(
          io, [this](const auto &request) { serveLookup(request); }, rejection),
      Peers(
          io, [this](const auto &request) { servePeer(request); }, rejection),
      Metrics(
          io,
          [](const auto &request) {
            HttpMessage response = jsonResponse(200, renderMetrics());
            response.Fields = {{"Content-Type", "text/plain"}};
            request->Respond(std::move(response));
          },
          rejection),
      Link(io, State),
      Operators(
          io, settings.StoreAddress, platform::OperatorPrefix, OperatorWait,
          OperatorPause,
          [this](const auto &changes) { onOperatorChanges(changes); },
          [this](bool answered) { onStoreContact(answered); }),
      Targets(
          io, settings.StoreAddress, platform::TargetPrefix, TargetWait,
          TargetPause,
          [this](const auto &changes) { onTargetChanges(changes); },
          [this](bool answered) { onStoreContact(answered); }),
      Systems(
          io, settings.StoreAddress, platform::SystemPrefix, SystemWait,
          SystemPause,
          [this](const auto &changes) { onSystemChanges(changes); },
          [this](bool answered) { onStoreContact(answered); }),
      Registration(io, settings.StoreAddress, platform::vmKey(settings.Vm),
                   writeVmEntry(State.Fleet.Self), settings.MinLease),
      Ticker(io), Signals(io, SIGTERM, SIGHUP, SIGINT) {
  setBounds(State, Settings);
}

bool VmDaemon::start() {
  bool bound =
      Callers.listen(Settings.CallerAddress) &&
      Readiness.listen(Settings.ReadyAddress) &&
      Lookups.listen(Settings.LookupAddress) &&
      Peers.listen(peerAddress(Settings)) && Link.open(peerAddress(Settings)) &&
      Metrics.listen(Settings.Address + ":" + std::to_string(MetricsPort));
  if (!bound)
    return false;
  logEvent(EventCode::DaemonStarted, {{"incarnation", State.Fleet.Self.StartId},
                                      {"zone", Settings.Zone.Value},
                                      {"address", Settings.CallerAddress}});
  StoreAnsweredAt = monoNow();
  Operators.start();
  Targets.start();
  Systems.start();
  Registration.start();
  for (StoreSync *it : {&Operators, &Targets, &Systems})
    it->follow([this] { return readersBefore(); });
  waitForSignal();
  TickedAt = monoNow();
  tick();
  return true;
}

std::vector<std::string> VmDaemon::readersBefore() const {
  std::vector<std::string> addresses;
  for (const VmEntry &it :
       storeWatchers(State.Fleet, Settings.Region, monoNow())) {
    if (it.Vm == State.Fleet.Self.Vm)
      break;
    addresses.push_back(it.PeerAddress);
  }
  return addresses;
}

bool VmDaemon::ready() const {
  return State.Config && TargetsListed && !Stopping;
}

void VmDaemon::serveCaller(const std::shared_ptr<ServedRequest> &request) {
  if (!TargetsListed) {
    request->Respond(
        platform::ownResponse(503, "not-ready", Duration(Millis(500))));
    return;
  }
  std::make_shared<RequestRunner>(Io, State, Pool, request)->start();
}

void VmDaemon::serveReadiness(const std::shared_ptr<ServedRequest> &request) {
  bool known = platform::isReadinessCheck(request->Message);
  request->Respond(known && ready()
                       ? jsonResponse(200, "{}")
                       : rejection(known ? 503 : 404, "not-ready"));
}

void VmDaemon::serveLookup(const std::shared_ptr<ServedRequest> &request) {
  auto question = platform::readLookup(request->Message);
  if (!question) {
    request->Respond(rejection(404, "no-such-call"));
    return;
  }
  auto addresses =
      lookupAddresses(State.Fleet, question->Zone, question->Region, monoNow());
  countEvent("lookups");
  request->Respond(platform::lookupResponse(
      addresses, std::min(LookupAge, Duration(Settings.LookupMaxAge))));
}

void VmDaemon::servePeer(const std::shared_ptr<ServedRequest> &request) {
  // The path is /news/REVISION/PREFIX.
  const std::string &path = request->Message.Path;
  const std::string start = "/news/";
  std::size_t slash = path.find('/', start.size());
  if (path.compare(0, start.size(), start) == 0 && slash != std::string::npos) {
    Revision after(std::atoll(path.c_str() + start.size()));
    for (StoreSync *it : {&Operators, &Targets, &Systems})
      if (path.substr(slash + 1) == it->mirror().Prefix &&
          it->mirror().Known.Value > 0) {
        it->serveFollower(request, after);
        return;
      }
  }
  request->Respond(rejection(404, "no-such-documents"));
}

void VmDaemon::onStoreContact(bool answered) {
  MonoTime now = monoNow();
  if (answered) {
    if (now - StoreAnsweredAt > StoreSilence)
      logEvent(EventCode::StoreReachable, {});
    StoreAnsweredAt = now;
  } else {
    if (now - StoreFailedAt > StoreSilence)
      logEvent(EventCode::StoreUnreachable, {});
    StoreFailedAt = now;
  }
}

void VmDaemon::tick() {
  MonoTime now = monoNow();
  if (now - TickedAt > Duration(Millis(1500)))
    logEvent(EventCode::PauseNoticed, {{"gap_us", (now - TickedAt).count()}});
  TickedAt = now;
  State.Fleet.StoreReachable = now - StoreAnsweredAt <= StoreSilence;
  if (ready() != WasReady) {
    WasReady = ready();
    if (WasReady)
      logEvent(EventCode::DaemonReady,
               {{"revision", State.DocumentsRevision.Value},
                {"targets", static_cast<std::int64_t>(State.Targets.size())}});
  }
  for (StoreSync *it : {&Operators, &Targets, &Systems})
    it->expireFollowers();
  applyRemovals(now);
  writeRollouts(now);
  askPeer(now);
  Link.sendTeamReports();
  if (now - ReportedAt >= ReportEvery) {
    ReportedAt = now;
    Link.sendReports();
    Pool.sweep();
  }
  if (now - ReloadedAt >= ReloadEvery)
    reload();
  if (Stopping)
    stopStep();
  flushEventStream();
  Ticker.expires_after(TickEvery);
  Ticker.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      tick();
  });
}

void VmDaemon::writeRollouts(MonoTime now) {
  for (const StatusChange &it : reviewRollouts(State, now)) {
    MonoTime &written = RolloutWrittenAt[it.Service];
    if (now - written < RolloutWriteEvery)
      continue;
    written = now;
    platform::StoreChange change;
    change.Key = platform::rolloutStatusKey(it.Service);
    change.Value = platform::writeRolloutStatus(it.State, it.Version);
    change.Conditional = true;
    change.Expected = it.Replaces;
    Registration.write(change);
  }
}

void VmDaemon::waitForSignal() {
  Signals.async_wait([this](const boost::system::error_code &ec, int signal) {
    if (ec)
      return;
    if (signal == SIGHUP)
      reload();
    else
      startStop();
    waitForSignal();
  });
}

void VmDaemon::reload() {
  ReloadedAt = monoNow();
  std::ifstream in(SettingsFile);
  std::string text((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  if (text.empty() || text == SettingsText)
    return;
  bool first = SettingsText.empty();
  SettingsText = text;
  Findings findings;
  VmSettings settings = readVmSettings(SettingsFile, text, findings);
  if (findings.empty()) {
    // Addresses stay as they are while the process runs.
    State.Zones = settings.Zones;
    setBounds(State, settings);
    Settings.LookupMaxAge = settings.LookupMaxAge;
    Settings.StopGrace = settings.StopGrace;
  }
  if (!first)
    logEvent(EventCode::SettingsReloaded,
             {{"findings", formatFindings(findings)}});
}

void VmDaemon::startStop() {
  if (Stopping)
    return;
  Stopping = true;
  StopAt = monoNow();
  State.Fleet.SelfDraining = true;
  logEvent(EventCode::DrainStarted,
           {{"in_flight", static_cast<std::int64_t>(Callers.inFlight())}});
  Registration.stop();
  Link.sendReports();
  Callers.startDrain();
}

void VmDaemon::stopStep() {
  Duration since = monoNow() - StopAt;
  if (since < AcceptAfterStop)
    return;
  Callers.closeIdle();
  bool over = since > Duration(Settings.StopGrace) - StopReserve;
  if (Callers.inFlight() > 0 && !over)
    return;
  logEvent(EventCode::DaemonStopped,
           {{"drain_ms", since.count() / 1000},
            {"in_flight", static_cast<std::int64_t>(Callers.inFlight())}});
  closeEventLog();
  Io.stop();
}

} // namespace savorylb
