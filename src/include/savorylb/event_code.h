#ifndef SAVORYLB_EVENT_CODE_H
#define SAVORYLB_EVENT_CODE_H

namespace savorylb {

/// Numbers of the events in the log, which docs/EVENTS.md lists. The number of
/// a removed event is not reused.
enum class EventCode {
  // Process.
  DaemonStarted = 1001,
  DaemonReady = 1002,
  DrainStarted = 1003,
  DaemonStopped = 1004,
  PauseDetected = 1005,
  SettingsReloaded = 1006,
  LogLinesDropped = 1007,
  HandlerFailed = 1008,
  ProcessCrashed = 1009,
  MemoryGrew = 1010,
  // Requests and placement.
  LookupAnswered = 2001,
  RequestDone = 2002,
  RequestRefused = 2003,
  RequestUnknown = 2004,
  SlotGranted = 2005,
  SlotRefused = 2006,
  RequestRetried = 2007,
  ResponseRejected = 2008,
  SpilledOver = 2009,
  RequestPlaced = 2010,
  RouteReported = 2011,
  // Limits.
  TokensBorrowed = 2101,
  TokensLent = 2102,
  // Ownership and leases.
  OwnershipChanged = 3001,
  OwnershipConflict = 3002,
  LeaseLost = 3003,
  LeaseRegained = 3004,
  TakeoverDone = 3005,
  TakeoverRefused = 3006,
  DutyGained = 3007,
  DutyLost = 3008,
  // Documents and keys.
  DocumentAdopted = 4001,
  DocumentRejected = 4002,
  DocumentRepaired = 4003,
  DocumentDiverged = 4004,
  StoreUnreachable = 4005,
  StoreReachable = 4006,
  KeysStale = 4007,
  KeysFresh = 4008,
  BlocksActivated = 4009,
  StoreWrite = 4010,
  ConfigActivated = 4011,
  PeerDocumentsAdopted = 4012,
  StoreRestored = 4013,
  DocumentOutdated = 4014,
  WatcherFailed = 4015,
  // Rollouts.
  RolloutStepped = 5001,
  RolloutStopped = 5002,
  RolloutRolledBack = 5003,
  RolloutDone = 5004,
  RolloutLate = 5005,
  RolloutOrdered = 5006,
  // Targets and peers.
  TargetDown = 6001,
  TargetUp = 6002,
  PeerDown = 6003,
  PeerUp = 6004,
  EvacuationStarted = 6005,
  EvacuationEnded = 6006,
  TargetRejected = 6007,
  TargetPaused = 6008,
  // Usage reports.
  UsageSettled = 7001,
  UsageAccepted = 7002,
  UsageCallFailed = 7003,
};

/// \returns the name of the event in the log and in docs/EVENTS.md.
const char *eventName(EventCode code);

} // namespace savorylb

#endif // SAVORYLB_EVENT_CODE_H
