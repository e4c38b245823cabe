#ifndef SAVORYLB_SAVORYLBD_BRIEF_SUBJECT_H
#define SAVORYLB_SAVORYLBD_BRIEF_SUBJECT_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// Name, incarnation and peer endpoint of a VM process.
struct BriefSubject {
  VmId Name;
  Incarnation VmIncarnation;
  std::string Endpoint;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BRIEF_SUBJECT_H
