#ifndef SAVORYLB_REPLAY_ADMISSION_CHECK_H
#define SAVORYLB_REPLAY_ADMISSION_CHECK_H

#include "savorylb/units.h"

#include <cstdint>
#include <set>

namespace savorylb::replay {

/// Compares a team's admissions in the whole fleet with its rate and burst.
///
/// One full bucket of the team's limits admits every sequence that keeps to
/// rate and burst in every window, and no other.
struct AdmissionCheck {
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
  /// Bucket that follows the admissions, and the one that follows arrivals.
  MicroTokens Level;
  Duration LevelAt{};
  MicroTokens DueLevel;
  Duration DueAt{};
  /// Arrivals that one bucket for the whole fleet would admit.
  std::multiset<Duration> DueOpen;
  long OverLimit = 0;
  long Admitted = 0;
  long Due = 0;
  long Wrongful = 0;

  AdmissionCheck() = default;
  AdmissionCheck(std::int64_t rate, std::int64_t burst);
};

/// Counts an arrival.
void noteArrival(AdmissionCheck &check, Duration at, bool measured);

/// Counts the decision about a request that arrived earlier.
void noteDecision(AdmissionCheck &check, Duration arrivedAt, Duration now,
                  bool admitted);

} // namespace savorylb::replay

#endif // SAVORYLB_REPLAY_ADMISSION_CHECK_H
