#ifndef SAVORYLB_ROLLOUT_VERDICT_H
#define SAVORYLB_ROLLOUT_VERDICT_H

#include "savorylb/rollout.h"

namespace savorylb {

/// Runs the tests of one route and those of all routes; stops the rollout when
/// one of them finds the new version worse.
/// \param rollout the rollout.
/// \param route the route whose counts changed.
/// \param evidence its evidence.
/// \param urgent whether to test now, instead of once in a few requests.
/// \returns true when the new version was stopped by this.
bool runTests(Rollout &rollout, const RouteId &route, RouteEvidence &evidence,
              bool urgent);

/// Restarts all tests from the present counts; suspicions stay.
void restartTests(Rollout &rollout);

/// Adds and subtracts counts field by field.
void addCounts(VersionCounts &to, const VersionCounts &counts);
VersionCounts subtractCounts(const VersionCounts &from,
                             const VersionCounts &counts);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_VERDICT_H
