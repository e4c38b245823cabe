#ifndef SAVORYLB_SAVORYLBD_VM_BRIEF_H
#define SAVORYLB_SAVORYLBD_VM_BRIEF_H

#include "peer.pb.h"
#include "savorylb/clock.h"
#include "savorylb/vm_view.h"

namespace savorylb {

/// \returns a hash of the fields of a state that a brief omits because they
/// rarely change: VM, incarnation, zone, region, endpoints, and the names of
/// the published services, versions and teams. Never 0, which stands for no id.
std::uint32_t briefId(const VmView &view);

/// Fills a brief with the fields of a state that change often.
/// \param now the time at which the message is made.
/// \param withTokens whether token levels are included.
void fillBrief(const VmView &view, MonoTime now, bool withTokens,
               peer::VmBrief &out);

/// Updates a held state from a brief.
/// \param sentAt when the brief was sent, on this daemon's clock; ages are
/// counted back from it.
/// \returns false when the brief is not of this state or not newer; an older
/// brief of this state can still advance VmView::StoreContactAt.
bool applyBrief(const peer::VmBrief &in, MonoTime sentAt, VmView &view);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_VM_BRIEF_H
