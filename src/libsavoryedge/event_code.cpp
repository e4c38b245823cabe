#include "savorylb/event_code.h"

namespace savorylb {

const char *eventName(EventCode code) {
  switch (code) {
  case EventCode::DaemonStarted:
    return "daemon_started";
  case EventCode::DaemonReady:
    return "daemon_ready";
  case EventCode::DrainStarted:
    return "drain_started";
  case EventCode::DaemonStopped:
    return "daemon_stopped";
  case EventCode::PauseNoticed:
    return "pause_noticed";
  case EventCode::LookupAnswered:
    return "lookup_answered";
  case EventCode::RequestDone:
    return "request_done";
  case EventCode::RequestRefused:
    return "request_refused";
  case EventCode::RequestUnknown:
    return "request_unknown";
  case EventCode::SlotGranted:
    return "slot_granted";
  case EventCode::SlotRefused:
    return "slot_refused";
  case EventCode::RequestRetried:
    return "request_retried";
  case EventCode::ResponseRejected:
    return "response_rejected";
  case EventCode::SpilledOver:
    return "spilled_over";
  case EventCode::RequestPlaced:
    return "request_placed";
  case EventCode::TokensBorrowed:
    return "tokens_borrowed";
  case EventCode::TokensLent:
    return "tokens_lent";
  case EventCode::OwnershipChanged:
    return "ownership_changed";
  case EventCode::OwnershipConflict:
    return "ownership_conflict";
  case EventCode::LeaseLost:
    return "lease_lost";
  case EventCode::LeaseRegained:
    return "lease_regained";
  case EventCode::TakeoverDone:
    return "takeover_done";
  case EventCode::TakeoverRefused:
    return "takeover_refused";
  case EventCode::BlocksInForce:
    return "blocks_in_force";
  case EventCode::DocumentAdopted:
    return "document_adopted";
  case EventCode::DocumentRejected:
    return "document_rejected";
  case EventCode::DocumentRepaired:
    return "document_repaired";
  case EventCode::DocumentDiverged:
    return "document_diverged";
  case EventCode::StoreUnreachable:
    return "store_unreachable";
  case EventCode::StoreReachable:
    return "store_reachable";
  case EventCode::KeysStale:
    return "keys_stale";
  case EventCode::KeysFresh:
    return "keys_fresh";
  case EventCode::RolloutStepped:
    return "rollout_stepped";
  case EventCode::RolloutStopped:
    return "rollout_stopped";
  case EventCode::RolloutTakenBack:
    return "rollout_taken_back";
  case EventCode::RolloutDone:
    return "rollout_done";
  case EventCode::RolloutLate:
    return "rollout_late";
  case EventCode::TargetDown:
    return "target_down";
  case EventCode::TargetUp:
    return "target_up";
  case EventCode::PeerDown:
    return "peer_down";
  case EventCode::PeerUp:
    return "peer_up";
  }
  return "unnamed";
}

} // namespace savorylb
