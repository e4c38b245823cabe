#ifndef SAVORYLB_SAVORYLBD_BRIEF_SUBJECT_H
#define SAVORYLB_SAVORYLBD_BRIEF_SUBJECT_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// The VM process that a peer::VmBrief describes; another VM may relay it.
struct BriefSubject {
  VmId Name;
  Incarnation VmIncarnation;
  std::string Endpoint;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BRIEF_SUBJECT_H
