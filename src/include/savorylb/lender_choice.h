#ifndef SAVORYLB_LENDER_CHOICE_H
#define SAVORYLB_LENDER_CHOICE_H

#include "savorylb/ids.h"
#include "savorylb/lender_candidate.h"
#include "savorylb/lender_level.h"
#include "savorylb/units.h"

#include <map>
#include <vector>

namespace savorylb {

/// Peers asked for tokens by one request; each costs a round trip.
constexpr std::size_t MaxLendersAsked = 5;

/// Levels that peers stated in their answers to borrows.
using LenderLevels = std::map<VmId, LenderLevel>;

/// Chooses the peers to ask for tokens, in order.
///
/// A level stated in an answer is used until a newer heartbeat comes, so that a
/// lender that has nothing left is not asked again and again.
/// \param candidates the peers.
/// \param stated levels from their answers.
/// \returns at most MaxLendersAsked peers.
std::vector<VmId> chooseLenders(const std::vector<LenderCandidate> &candidates,
                                const LenderLevels &stated);

} // namespace savorylb

#endif // SAVORYLB_LENDER_CHOICE_H
