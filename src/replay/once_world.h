#ifndef SAVORYLB_REPLAY_ONCE_WORLD_H
#define SAVORYLB_REPLAY_ONCE_WORLD_H

#include "fleet.h"
#include "once_record.h"
#include "once_vm.h"

namespace savorylb::replay {

/// The fleet with its ledgers, and the truth about all identities.
struct OnceWorld {
  Fleet Vms;
  std::map<VmId, OnceVm> Ledgers;
  std::vector<ZoneId> Zones;
  std::map<RequestId, OnceRecord> Records;
  Duration Retention{};
  Duration RunTime{};
  double LostAnswers = 0;
  long Created = 0;
  long SecondRuns = 0;
  long ChangedAnswers = 0;
  long RunsAfterUnknown = 0;
  long Done = 0;

  OnceWorld(const Trace &trace, DecisionLog &log) : Vms(trace, log) {}
};

/// Ties the ledgers to the fleet's changes of ownership.
void attachLedgers(OnceWorld &world);

/// Handles a begin at the VM that is taken for the home; the answer comes once
/// the entry is replicated.
void beginAtHome(OnceWorld &world, ReplayVm &home, int partition,
                 const RequestId &identity, Duration remaining,
                 const std::function<void(const BeginResult &)> &answer);

/// Records the outcome at the home VM and its replica.
void finishAtHome(OnceWorld &world, ReplayVm &home, int partition,
                  const RequestId &identity, std::uint64_t number,
                  OnceState state, const std::string &body);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ONCE_WORLD_H
