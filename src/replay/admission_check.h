#ifndef SAVORYLB_REPLAY_ADMISSION_CHECK_H
#define SAVORYLB_REPLAY_ADMISSION_CHECK_H

#include "savorylb/units.h"

#include <cstdint>
#include <set>

namespace savorylb::replay {

/// Checks a team's admissions on the whole fleet against its rate and burst.
///
/// The reference is one token bucket with the team's limits, initially full: it
/// admits exactly the sequences that stay within rate and burst in every
/// window.
struct AdmissionCheck {
  /// Requests a second.
  std::int64_t Rate = 0;
  /// Requests.
  std::int64_t Burst = 0;
  /// Level of the reference bucket charged with the actual admissions.
  MicroTokens AdmittedLevel;
  /// When AdmittedLevel was last updated.
  Duration AdmittedLevelAt{};
  /// Level of the reference bucket charged with all arrivals.
  MicroTokens ArrivalLevel;
  /// When ArrivalLevel was last updated.
  Duration ArrivalLevelAt{};
  /// Arrival times of the admissible requests that are not decided yet.
  std::multiset<Duration> UndecidedAdmissible;
  /// Admissions beyond the team's limits.
  long OverLimit = 0;
  long Admitted = 0;
  /// Measured arrivals that one bucket for the whole fleet would admit.
  long Admissible = 0;
  /// Admissible requests that were refused.
  long WrongfulRefusals = 0;

  AdmissionCheck() = default;
  AdmissionCheck(std::int64_t rate, std::int64_t burst);
};

/// Charges an arrival to the reference bucket.
/// \param measured whether an admissible arrival is counted.
void recordArrival(AdmissionCheck &check, Duration at, bool measured);

/// Records whether a request was admitted.
/// \param arrivedAt as given to recordArrival().
void recordDecision(AdmissionCheck &check, Duration arrivedAt, Duration now,
                    bool admitted);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ADMISSION_CHECK_H
