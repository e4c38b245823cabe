#ifndef SAVORYLB_VM_DAEMON_H
#define SAVORYLB_VM_DAEMON_H

#include "http_server.h"
#include "peer_link.h"
#include "steering_state.h"
#include "store_sync.h"
#include "target_history.h"
#include "target_pool.h"
#include "usage_reporter.h"
#include "vm_registration.h"
#include "vm_settings.h"

#include <map>
#include <memory>

namespace savorylb {

/// Live targets restore their entries within this time after the store is
/// back.
constexpr Duration LeaseLapseGrace = Millis(2300);

/// The savoryvm daemon, for VMs whose store, targets and settings a hosting
/// platform provides: its steering state, its servers and its connections to
/// the store and to other VMs.
class VmDaemon {
public:
  VmDaemon(asio::io_context &io, const VmSettings &settings,
           std::string settingsFile);

  /// Binds all addresses and starts the periodic work.
  /// \returns whether all addresses could be bound.
  bool start();

  /// Begins a planned stop, unless one has begun: lookups name other VMs from
  /// now on, and the event loop stops when the requests in progress have ended
  /// or the grace period is over.
  void beginShutdown();

private:
  bool mayRunConcurrently(const HttpMessage &request) const;
  void serveCaller(const std::shared_ptr<ServedRequest> &request);
  void serveReadiness(const std::shared_ptr<ServedRequest> &request);
  void serveLookup(const std::shared_ptr<ServedRequest> &request);
  void servePeer(const std::shared_ptr<ServedRequest> &request);

  void onOperatorChanges(const std::vector<platform::StoreItem> &changes);
  void onOperatorChange(const platform::StoreItem &item);
  void onConfig(const platform::StoreItem &item);
  void onRolloutOrder(const platform::StoreItem &item,
                      const ServiceId &service);
  void onEvacuation(const platform::StoreItem &item, const ZoneId &zone);
  void onTargetChanges(const std::vector<platform::StoreItem> &changes);
  void onSystemChanges(const std::vector<platform::StoreItem> &changes);
  void removeTarget(const TargetId &target, const char *reason);
  void onVmEntry(const platform::StoreItem &item, const VmId &vm);
  void onRolloutStatus(const platform::StoreItem &item,
                       const ServiceId &service);
  bool activateConfig(const std::string &text, const std::string &key,
                      Revision revision);
  void onStoreContact(std::optional<MonoTime> away);
  MonoTime storeAwayUntil() const;

  void onStoreEra(StoreEra era, EraSource source);
  void logNewEra();
  void extendHolds(MonoTime now);
  void extendHoldsBy(Duration pause);
  bool holdDocument(const platform::StoreItem &item);
  bool isOutdatedTarget(const platform::StoreItem &item,
                        const TargetEntry &entry, MonoTime now) const;
  bool isOutdatedVm(const platform::StoreItem &item, const VmEntry &entry,
                    MonoTime now) const;
  void applyHeldDocuments(MonoTime now);

  void tick();
  void recordMemory();
  /// Logs how the requests of each route ended, and counts them.
  void reportRoutes();
  void applyPendingRemovals(MonoTime now);
  void writeRolloutStatuses(MonoTime now);
  void fetchFromPeer(MonoTime now);
  VmEntry peerWithNewerDocuments(bool storeSilent, MonoTime now) const;
  VmEntry peerWithNewerConfig(MonoTime now) const;
  void fetchDocuments(const std::string &peer, bool fetchTargets);
  void fetchConfig(const std::string &peer);
  void recordCatchUp(const Result<HttpMessage> &response) const;
  void adoptFromPeer(const std::string &peer, const std::string &prefix,
                     const Result<HttpMessage> &response);
  void waitForSignal();
  void reload();
  void advanceShutdown();
  bool ready() const;
  std::vector<std::string> preferredWatchers() const;

  asio::io_context &Io;
  VmSettings Settings;
  std::string SettingsFile;
  std::string SettingsText;
  SteeringState State;
  TargetPool Pool;
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer Lookups;
  HttpServer Peers;
  HttpServer Metrics;
  PeerLink Link;
  std::shared_ptr<StoreContact> Contact = std::make_shared<StoreContact>();
  StoreSync OperatorSync;
  StoreSync TargetSync;
  StoreSync SystemSync;
  VmRegistration Registration;
  /// Set if this deployment reports usage.
  std::unique_ptr<UsageReporter> Usage;
  std::unique_ptr<HttpChannel> PeerChannel;
  bool PeerFetchPending = false;
  /// The VM from which documents are fetched is in another zone.
  bool PeerLeavesZone = false;
  MonoTime PeerFetchStartedAt{};
  asio::steady_timer Ticker;
  asio::steady_timer ShutdownTimer;
  asio::signal_set Signals;
  MonoTime StoreAnsweredAt{};
  /// When a call to the store was last found to have failed, and until when the
  /// store was away, as far as failed calls show.
  MonoTime StoreFailedAt{};
  MonoTime StoreAwayUntil{};
  MonoTime ReportedAt{};
  MonoTime RoutesReportedAt{};
  MonoTime LoadsSentAt{};
  MonoTime ReloadedAt{};
  MonoTime TickedAt{};
  /// Peak of the resident memory when it was last logged.
  std::int64_t LoggedPeakKb = 0;
  bool Stopping = false;
  bool Accepting = true;
  bool WasReady = false;
  bool TargetsListed = false;
  /// Targets whose entries were removed in a mass removal or within
  /// LeaseLapseGrace after a failure of the store or a new era, each with the
  /// time by which its entry must reappear.
  std::map<TargetId, MonoTime> PendingRemovals;
  std::map<ServiceId, MonoTime> RolloutWrittenAt;
  /// Positions over which all changes of operators' documents were followed, in
  /// one era.
  StoreSpan OperatorsFollowed;
  /// Content of the active configuration, for other VMs.
  std::string ConfigText;
  /// Highest era that the store has shown.
  StoreEra Era;
  /// Highest era that another VM has shown.
  StoreEra AnnouncedEra;
  MonoTime EraEnteredAt{};
  /// Revision of the operators' documents before a new era, until their first
  /// list in that era.
  std::optional<StorePosition> KnownBeforeEra;
  /// A change that is not applied before its time, in case the lost document is
  /// written again.
  struct HeldDocument {
    platform::StoreItem Item;
    MonoTime Until{};
  };
  std::map<std::string, HeldDocument> HeldDocuments;
  TargetHistory EndedStarts;
  /// StartId of VMs whose entries were removed.
  std::map<VmId, std::string> DepartedVms;
};

} // namespace savorylb

#endif // SAVORYLB_VM_DAEMON_H
