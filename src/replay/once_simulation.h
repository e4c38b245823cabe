#ifndef SAVORYLB_REPLAY_ONCE_SIMULATION_H
#define SAVORYLB_REPLAY_ONCE_SIMULATION_H

#include "fleet_simulation.h"
#include "once_record.h"
#include "vm_ledger.h"

namespace savorylb::replay {

/// The fleet, its ledgers and the actual outcomes of all identities.
struct OnceSimulation {
  FleetSimulation Fleet;
  std::map<VmId, VmLedger> Ledgers;
  std::vector<ZoneId> Zones;
  std::map<RequestId, OnceRecord> Records;
  Duration Retention{};
  Duration RunTime{};
  /// Probability that the answer of a target is lost.
  double LostAnswerChance = 0;
  /// Number of identities.
  long Created = 0;
  /// Runs of an identity after its first.
  long SecondRuns = 0;
  /// Answers that differ from the one before to the same identity.
  long ChangedAnswers = 0;
  /// Runs of an identity after a caller received `unknown` for it.
  long RunsAfterUnknown = 0;
  /// Identities for which a caller received an answer.
  long AnsweredIdentities = 0;

  OnceSimulation(const Trace &trace, DecisionLog &log) : Fleet(trace, log) {}
};

/// Sets the callbacks that update the ledgers when ownership changes.
void attachLedgers(OnceSimulation &sim);

/// Handles a begin request on the VM that the forwarding VM considers the home.
/// \param remaining time until the request's deadline.
/// \param answer called after the entry was replicated, or when the request may
/// not run.
void beginAtHome(OnceSimulation &sim, SimulatedVm &home, int partition,
                 const RequestId &identity, Duration remaining,
                 const std::function<void(const BeginResult &)> &answer);

/// Records the outcome of a request on the home VM and its replicas.
void finishAtHome(OnceSimulation &sim, SimulatedVm &home, int partition,
                  const RequestId &identity, std::uint64_t number,
                  OnceState state, const std::string &body);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ONCE_SIMULATION_H
