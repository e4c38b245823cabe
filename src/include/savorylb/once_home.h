#ifndef SAVORYLB_ONCE_HOME_H
#define SAVORYLB_ONCE_HOME_H

#include "savorylb/ids.h"

namespace savorylb {

/// The zone and ledger partition that are responsible for a request identity.
struct OnceHome {
  ZoneId Zone;
  int Partition = 0;
};

} // namespace savorylb

#endif // SAVORYLB_ONCE_HOME_H
