#ifndef SAVORYLB_SAVORYLBD_DAEMON_H
#define SAVORYLB_SAVORYLBD_DAEMON_H

#include "caller_connection.h"
#include "document_state.h"
#include "fault_injection.h"
#include "ledger_shards.h"
#include "link_shards.h"
#include "membership_state.h"
#include "peer_directory.h"
#include "rollout_shards.h"
#include "savorylb/settings.h"
#include "savorylb/store_client.h"
#include "savorylb/target_client.h"
#include "savorylb/vm_list_client.h"
#include "service_shard.h"
#include "team_shards.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace savorylb {

/// All state of one daemon. Each part has its own lock. No lock is held across
/// a call to another process, except TeamShard::BorrowLock, which serializes
/// borrowing from peers.
struct Daemon {
  Settings Conf;
  Incarnation SelfIncarnation;
  MonoTime StartedAt{};
  StoreClient Store;
  VmListClient VmList;
  TargetClient Targets;

  DocumentState Documents;
  MembershipState Membership;
  PeerDirectory Peers;
  TeamShards Teams;
  ServiceShards Services;
  LedgerShards Ledger;
  RolloutShards Rollouts;
  LinkShards Links;
  FaultInjection Faults;
  CallerConnections Callers;

  /// A drain has begun: lookups no longer name this VM.
  std::atomic<bool> Departing{false};
  /// A drain hands off the resources: from now on, only finishDrain() changes
  /// the owner map.
  std::atomic<bool> HandingOff{false};
  /// Tells the background threads to end.
  std::atomic<bool> Stopping{false};
  /// Guards changes of Stopping, which StopSignal announces to the background
  /// threads.
  std::mutex StopLock;
  std::condition_variable StopSignal;
  /// Keys are fresh enough to serve requests with a key.
  std::atomic<bool> KeysUsable{true};
  std::atomic<int> RequestsInFlight{0};
  /// When the last request to a service arrived, in microseconds of the
  /// monotonic clock.
  std::atomic<std::int64_t> LastRequestAt{0};
};

/// \returns `host:port` of the peer interface.
std::string ownPeerEndpoint(const Daemon &daemon);
/// \returns `host:port` of the caller interface.
std::string ownCallerEndpoint(const Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DAEMON_H
