#ifndef SAVORYLB_SAVORYLBD_VM_BRIEF_H
#define SAVORYLB_SAVORYLBD_VM_BRIEF_H

#include "peer.pb.h"
#include "savorylb/clock.h"
#include "savorylb/vm_view.h"

namespace savorylb {

/// \returns a short name for everything of a state that seldom changes: the
/// incarnation, its endpoints, and which services and teams it publishes.
std::uint32_t briefId(const VmView &view);

/// Writes the part of a state that changes all the time.
/// \param view the state.
/// \param now the time of the message.
/// \param withTokens whether token levels are included.
/// \param out what is sent.
void fillBrief(const VmView &view, MonoTime now, bool withTokens,
               peer::VmBrief &out);

/// Brings a held state up to date.
/// \param in what was received; its id must be that of the view.
/// \param sentAt when it was sent, on this daemon's clock.
/// \param view the held state.
/// \returns false when the message does not fit the view or is not newer.
bool applyBrief(const peer::VmBrief &in, MonoTime sentAt, VmView &view);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_VM_BRIEF_H
