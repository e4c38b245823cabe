#ifndef SAVORYLB_ROLLOUT_TRIAL_H
#define SAVORYLB_ROLLOUT_TRIAL_H

#include "rollout_stage.h"
#include "target_state.h"

namespace savorylb {

/// This VM's credit for requests to the new version of a rollout.
struct TrialCredit {
  /// Requests that may be sent; a fraction is carried over.
  double Requests = 0;
  MonoTime StartedAt{};
  /// Time up to which the part that accrues with time is included.
  MonoTime AccruedAt{};
  /// Requests of the service since the start.
  std::int64_t Seen = 0;
};

/// Creates the credit at the start of a rollout. The VMs start with different
/// fractions of a request, so that all VMs together send their share also if it
/// is less than one request for each.
/// \param vm this VM.
TrialCredit startTrial(const VmId &vm, StorePosition orderRevision,
                       MonoTime now);

/// Adds the credit for one request of the service.
/// \param vms number of VMs, which are assumed to receive as many requests.
void accrueCredit(TrialCredit &credit, const RolloutStep &step, int vms,
                  MonoTime now);

/// The requests that a step sends to the new version.
struct TrialLoad {
  /// Over all VMs.
  double PerSecond = 0;
  /// Processing time of one request.
  double WorkMs = 0;
};

/// \returns the requests per second that a step sends to the new version, over
///          all VMs.
double trialRate(const TrialCredit &credit, const RolloutStep &step, int vms,
                 MonoTime now);

/// \returns how many targets serve a trial, so that they are loaded but not
///          overloaded.
/// \param slots slots of one target.
/// \param targets number of the new version's usable targets.
std::size_t trialTargets(const TrialLoad &load, int slots, std::size_t targets);

/// \returns whether a target has a free slot for a request of the trial. A
/// queue
///          would look like a fault of the version.
bool hasTrialRoom(const TargetState &target, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_TRIAL_H
