#ifndef SAVORYLB_ROLLOUT_VERDICT_H
#define SAVORYLB_ROLLOUT_VERDICT_H

#include "savorylb/rollout.h"

namespace savorylb {

/// Runs the tests of one route and of all routes together, and stops the
/// rollout if one of them finds the new version worse.
/// \param route the route whose counts changed.
/// \param evidence the counts and test states of that route.
/// \param immediate whether to test now, even if the current group of requests
/// is not complete.
/// \returns true when this call stopped the new version.
bool runTests(Rollout &rollout, const RouteId &route, RouteEvidence &evidence,
              bool immediate);

/// Restarts all tests from the current counts without ending suspicions.
void restartTests(Rollout &rollout);

/// Adds counts field by field.
void addCounts(VersionCounts &to, const VersionCounts &counts);
/// Subtracts counts field by field.
VersionCounts subtractCounts(const VersionCounts &from,
                             const VersionCounts &counts);

} // namespace savorylb

#endif // SAVORYLB_ROLLOUT_VERDICT_H
