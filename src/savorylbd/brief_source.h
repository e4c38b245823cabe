#ifndef SAVORYLB_SAVORYLBD_BRIEF_SOURCE_H
#define SAVORYLB_SAVORYLBD_BRIEF_SOURCE_H

#include "savorylb/ids.h"

#include <string>

namespace savorylb {

/// The process that a brief is about.
struct BriefSource {
  VmId Name;
  Incarnation Life;
  std::string Endpoint;
};

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_BRIEF_SOURCE_H
