#ifndef SAVORYLB_LENDER_CHOICE_H
#define SAVORYLB_LENDER_CHOICE_H

#include "savorylb/ids.h"
#include "savorylb/lender_candidate.h"
#include "savorylb/lender_level.h"
#include "savorylb/units.h"

#include <map>
#include <vector>

namespace savorylb {

/// Maximum number of peers asked for tokens for one request; each costs a round
/// trip.
constexpr std::size_t MaxLendersAsked = 5;

/// Token levels that peers reported in their replies to borrow requests.
using LenderLevels = std::map<VmId, LenderLevel>;

/// Chooses the peers to ask for tokens.
///
/// A level reported in a reply is used until a newer heartbeat arrives, so that
/// a lender without tokens is not asked repeatedly.
/// \returns at most MaxLendersAsked peers, in the order in which to ask them.
std::vector<VmId> chooseLenders(const std::vector<LenderCandidate> &candidates,
                                const LenderLevels &reported);

} // namespace savorylb

#endif // SAVORYLB_LENDER_CHOICE_H
