#include "vm_daemon.h"

#include "documents.h"
#include "edge_protocol.h"
#include "peer_codec.h"
#include "request_proxy.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"
#include "savorylb/metrics.h"

#include <random>
#include <sstream>
#include <string_view>
#include <sys/resource.h>

namespace savorylb {
namespace {

constexpr Duration TickInterval = Millis(100);
constexpr Duration ReportInterval = Millis(1000);
constexpr Duration RouteReportInterval = Seconds(5);
constexpr Duration ReloadInterval = Millis(2000);
/// Time between two ticks above which the process counts as having stood still,
/// and above which that is logged.
constexpr Duration ShortPause = Millis(500);
constexpr Duration LoggedPause = Millis(1500);
/// How long a watch of a prefix waits for a change, and the pause before the
/// next watch, during which changes accumulate.
///
/// A change ends the wait, so on a working connection the pause is the main
/// delay. A configuration must be in force within 2.5 s, and a target that
/// leaves must get no more requests after 2.5 s. The entries of VMs are less
/// urgent, as VMs also send them to each other.
///
/// A silent connection is detected only after the wait and one call timeout.
constexpr Millis OperatorWatchWait(2500);
constexpr Duration OperatorWatchPause = Millis(150);
constexpr Millis TargetWatchWait(2000);
constexpr Duration TargetWatchPause = Millis(600);
constexpr Millis SystemWatchWait(3000);
constexpr Duration SystemWatchPause = Millis(1500);
/// Longest time after the start in which no watch begins, as the other VMs are
/// not known yet. Not longer than the pause between two watches of targets.
constexpr Duration StartWatchDelay = TargetWatchPause;
/// The store counts as unreachable after this time without a response. A failed
/// call is logged only if no other call failed for this time before it.
constexpr Duration StoreUnreachableAfter = Millis(3200);
/// Largest response of a target.
constexpr std::int64_t MaxResponseBytes = 32 << 20;
/// Limits of the messages that are held at one time: the responses of all
/// targets until callers have received them, and the requests of all callers.
/// The smallest VMs have 160 MB; a request may have 64 MB.
constexpr std::int64_t ResponseBudgetBytes = 40 << 20;
constexpr std::int64_t RequestBudgetBytes = 72 << 20;
/// Retry-After value of a response to a request whose body does not fit.
constexpr Duration NoMemoryRetryAfter = Millis(500);
/// Shortest time between two writes of a rollout's status, so that the outcome
/// of the first is known before the next.
constexpr Duration RolloutWriteInterval = Millis(1200);
constexpr int MetricsPort = 9464;
/// Growth of the resident memory that is logged.
constexpr std::int64_t LoggedGrowthKb = 16 << 10;

HttpMessage rejection(int status, const char *reason) {
  return platform::localResponse(status, reason, Duration::zero());
}

HttpMessage rejectCaller(int status, const char *reason) {
  Duration retryAfter = Duration::zero();
  if (std::string_view(reason) == StoppingReason)
    retryAfter = StoppingRetryAfter;
  else if (status == 503)
    retryAfter = NoMemoryRetryAfter;
  return platform::localResponse(status, reason, retryAfter);
}

std::string makeStartId() {
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
  entry.StartId = makeStartId();
  return entry;
}

SteeringState initialState(const VmSettings &settings) {
  SteeringState state;
  state.Zones = settings.Zones;
  state.Fleet.Self = selfEntry(settings);
  state.TieBreaker.seed(std::random_device()());
  return state;
}

void logVerdict(const StatusChange &change) {
  for (const auto &[route, tally] : change.Evidence)
    logEvent(EventCode::RolloutStopped,
             {{"service", change.Service.Value},
              {"route", route.Value},
              {"version", change.Version.Value},
              {"responses", tally.NewVersion.Responses},
              {"failures", tally.NewVersion.Failures},
              {"slow", tally.NewVersion.Slow},
              {"old_responses", tally.OldVersion.Responses},
              {"old_failures", tally.OldVersion.Failures},
              {"old_slow", tally.OldVersion.Slow}});
}

void setBounds(SteeringState &state, const VmSettings &settings) {
  state.Bounds.Retries.Ratio = settings.RetryBudgetRatio;
  state.Bounds.Retries.Slack = settings.RetryBudgetSlack;
  state.Bounds.Retries.Window = settings.RetryBudgetWindow;
  state.Bounds.BadVersion = {settings.MaxBadShare, settings.MaxBadSlack};
  state.Bounds.ObjectReplicas = settings.ObjectReplicas;
  state.Bounds.CachedObjects = settings.CachedObjects;
  state.Bounds.SharedLoads = settings.LoadReportInterval > Millis::zero();
  state.Bounds.OverloadControl = settings.OverloadControl;
}

} // namespace

VmDaemon::VmDaemon(asio::io_context &io, const VmSettings &settings,
                   std::string settingsFile)
    : Io(io), Settings(settings), SettingsFile(std::move(settingsFile)),
      State(initialState(settings)),
      Pool(io, MaxResponseBytes,
           std::make_shared<ByteBudget>(ResponseBudgetBytes)),
      Callers(
          io, [this](const auto &request) { serveCaller(request); },
          rejectCaller),
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
      OperatorSync(
          io, settings.StoreAddress, platform::OperatorPrefix,
          OperatorWatchWait, OperatorWatchPause,
          [this](const auto &changes) { onOperatorChanges(changes); },
          [this](auto away) { onStoreContact(away); }),
      TargetSync(
          io, settings.StoreAddress, platform::TargetPrefix, TargetWatchWait,
          TargetWatchPause,
          [this](const auto &changes) { onTargetChanges(changes); },
          [this](auto away) { onStoreContact(away); }),
      SystemSync(
          io, settings.StoreAddress, platform::SystemPrefix, SystemWatchWait,
          SystemWatchPause,
          [this](const auto &changes) { onSystemChanges(changes); },
          [this](auto away) { onStoreContact(away); }),
      Registration(io, settings.StoreAddress, platform::vmKey(settings.Vm),
                   writeVmEntry(State.Fleet.Self), settings.MinLease),
      Ticker(io), ShutdownTimer(io), Signals(io, SIGTERM, SIGHUP, SIGINT) {
  setBounds(State, Settings);
  Link.compressReports(Settings.CompressReports);
  Callers.setBodyBudget(std::make_shared<ByteBudget>(RequestBudgetBytes));
  if (Settings.Duty.UsageReporting) {
    State.Usage.emplace();
    Usage = std::make_unique<UsageReporter>(Io, Settings, State, Link);
  }
  Callers.setConcurrencyRule(
      [this](const HttpMessage &it) { return mayRunConcurrently(it); });
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
  for (StoreSync *it : {&OperatorSync, &TargetSync, &SystemSync}) {
    it->reportEras([this](StoreEra era, EraSource source) {
      onStoreEra(era, source);
      if (Usage && source == EraSource::Store)
        Usage->onEra(era);
    });
    it->reportUpdateSizes([this](const std::string &vm, std::size_t n) {
      if (isInOtherZone(State.Fleet, vm))
        recordZoneTraffic(ZoneTraffic::Documents, n);
    });
    it->shareContact(Contact);
    it->follow([this] { return preferredWatchers(); });
    it->delayWatches(monoNow() + StartWatchDelay);
    it->start();
  }
  Registration.reportEras([this](StoreEra era) {
    onStoreEra(era, EraSource::Store);
    if (Usage)
      Usage->onEra(era);
  });
  // Of two VMs that start together, at least the one that registers last finds
  // the other by this list, and tells it.
  Registration.reportWritten([this] {
    SystemSync.listAgain([this] {
      if (Usage)
        Usage->onListed();
      State.Fleet.Complete = true;
      Link.announce();
      OperatorSync.beginWatches();
      TargetSync.beginWatches();
    });
  });
  Registration.shareContact(Contact);
  Registration.start();
  waitForSignal();
  TickedAt = monoNow();
  tick();
  return true;
}

std::vector<std::string> VmDaemon::preferredWatchers() const {
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

void VmDaemon::onStoreContact(std::optional<MonoTime> away) {
  MonoTime now = monoNow();
  if (!away) {
    if (now - StoreAnsweredAt > StoreUnreachableAfter)
      logEvent(EventCode::StoreReachable, {});
    StoreAnsweredAt = now;
  } else {
    if (now - StoreFailedAt > StoreUnreachableAfter)
      logEvent(EventCode::StoreUnreachable, {});
    StoreFailedAt = now;
    StoreAwayUntil = std::max(StoreAwayUntil, *away);
  }
}

void VmDaemon::tick() {
  // Before the work, so that an exception does not end the ticks.
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      tick();
  });
  MonoTime now = monoNow();
  Duration gap = now - TickedAt;
  if (gap > LoggedPause)
    logEvent(EventCode::PauseDetected, {{"gap_us", gap.count()}});
  if (gap > ShortPause)
    extendHoldsBy(gap);
  TickedAt = now;
  State.Fleet.StoreReachable = now - StoreAnsweredAt <= StoreUnreachableAfter;
  if (ready() != WasReady) {
    WasReady = ready();
    if (WasReady)
      logEvent(EventCode::DaemonReady,
               {{"revision", State.DocumentsRevision.Number.Value},
                {"targets", static_cast<std::int64_t>(State.Targets.size())}});
  }
  for (StoreSync *it : {&OperatorSync, &TargetSync, &SystemSync})
    it->expireFollowers();
  applyPendingRemovals(now);
  applyHeldDocuments(now);
  writeRolloutStatuses(now);
  fetchFromPeer(now);
  Link.sendTeamReports();
  if (Usage)
    Usage->tick();
  if (State.Bounds.SharedLoads &&
      now - LoadsSentAt >= Settings.LoadReportInterval) {
    LoadsSentAt = now;
    Link.sendLoads();
  }
  if (now - ReportedAt >= ReportInterval) {
    ReportedAt = now;
    Link.sendReports();
    Pool.sweep();
    recordMemory();
  }
  if (now - RoutesReportedAt >= RouteReportInterval) {
    RoutesReportedAt = now;
    reportRoutes();
  }
  if (now - ReloadedAt >= ReloadInterval)
    reload();
  flushEventStream();
}

void VmDaemon::recordMemory() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0)
    return; // The gauge keeps its last value.
  std::int64_t peakKb = usage.ru_maxrss;
  setGauge("resident_peak_bytes", static_cast<double>(peakKb) * 1024);
  if (peakKb - LoggedPeakKb < LoggedGrowthKb)
    return;
  LoggedPeakKb = peakKb;
  logEvent(EventCode::MemoryGrew,
           {{"peak_kb", peakKb},
            {"connections", static_cast<std::int64_t>(Callers.connections())},
            {"in_flight", static_cast<std::int64_t>(Callers.inFlight())}});
}

void VmDaemon::writeRolloutStatuses(MonoTime now) {
  for (const StatusChange &it : reviewRollouts(State, now)) {
    MonoTime &written = RolloutWrittenAt[it.Service];
    if (now - written < RolloutWriteInterval)
      continue;
    StorePosition replaced = it.ReplacedRevision;
    if (replaced.Number.Value == 0)
      replaced.Era = SystemSync.mirror().KnownRevision.Era;
    if (replaced.Era < Era)
      continue; // The statuses of the new era are not known yet.
    written = now;
    if (it.State == RolloutState::RolledBack)
      logVerdict(it);
    platform::StorePut put;
    put.Key = platform::rolloutStatusKey(it.Service);
    put.Value = platform::writeRolloutStatus(it.State, it.Version);
    put.Conditional = true;
    put.ExpectedRevision = replaced;
    Registration.write(put);
  }
}

void VmDaemon::waitForSignal() {
  Signals.async_wait([this](const boost::system::error_code &ec, int signal) {
    if (ec)
      return;
    if (signal == SIGHUP)
      reload();
    else
      beginShutdown();
    waitForSignal();
  });
}

void VmDaemon::reload() {
  ReloadedAt = monoNow();
  std::string text = readSettingsFile(SettingsFile);
  if (text.empty() || text == SettingsText)
    return;
  bool first = SettingsText.empty();
  SettingsText = text;
  Findings findings;
  VmSettings settings = readVmSettings(SettingsFile, text, findings);
  if (findings.empty()) {
    // Addresses do not change while the process runs.
    State.Zones = settings.Zones;
    setBounds(State, settings);
    Settings.LookupMaxAge = settings.LookupMaxAge;
    Settings.StopGrace = settings.StopGrace;
  }
  if (!first)
    logEvent(EventCode::SettingsReloaded,
             {{"findings", formatFindings(findings)}});
}

} // namespace savorylb
