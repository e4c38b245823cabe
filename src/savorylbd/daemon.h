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

/// All state of one daemon. Each part has its own lock; no lock is held
/// across a call to another process.
struct Daemon {
  Settings Conf;
  Incarnation Life;
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

  /// A planned stop has begun: lookups stop naming this VM.
  std::atomic<bool> Departing{false};
  /// All work of a planned stop has ended: the drain alone changes the owner
  /// map from here on.
  std::atomic<bool> Closing{false};
  /// Background threads end.
  std::atomic<bool> Stopping{false};
  /// Wakes the background threads when they are to end.
  std::mutex StopLock;
  std::condition_variable StopSignal;
  /// Keys are fresh enough to serve keyed requests.
  std::atomic<bool> KeysInForce{true};
  std::atomic<int> RequestsInFlight{0};
  /// When the last request to a service arrived.
  std::atomic<std::int64_t> LastRequestAt{0};
};

/// \returns endpoint of the peer interface.
std::string ownPeerEndpoint(const Daemon &daemon);
/// \returns endpoint of the caller interface.
std::string ownCallerEndpoint(const Daemon &daemon);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_DAEMON_H
