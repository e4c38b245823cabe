#ifndef SAVORYLB_SAVORYLBD_PEER_MESSAGES_H
#define SAVORYLB_SAVORYLBD_PEER_MESSAGES_H

#include "peer.pb.h"
#include "savorylb/once_ledger.h"
#include "savorylb/slot_table.h"
#include "savorylb/vm_view.h"

#include <string>

namespace savorylb {

void fillAnswer(const StoredAnswer &answer, peer::StoredAnswer &out);
StoredAnswer readAnswer(const peer::StoredAnswer &in);

void fillEntry(const OnceEntry &entry, MonoTime now, peer::OnceEntry &out);
OnceEntry readEntry(const peer::OnceEntry &in, MonoTime now);

void fillView(const VmView &view, MonoTime now, peer::VmState &out);
/// \param sentAt the time from which ages are counted back. For a reply it is
/// the time of the request, so that a slow reply does not make the state look
/// more recent; for a request it is the time of its arrival.
VmView readView(const peer::VmState &in, MonoTime sentAt);

const char *verdictName(OnceVerdict verdict);
OnceVerdict verdictFromName(const std::string &name);
const char *resultName(SlotResult result);
SlotResult resultFromName(const std::string &name);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_PEER_MESSAGES_H
