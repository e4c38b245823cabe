#ifndef SAVORYCTL_WRITE_REPORT_H
#define SAVORYCTL_WRITE_REPORT_H

#include "savorylb/units.h"
#include "write_outcome.h"

#include <string>

namespace savorylb {

/// Outcome of a write, and the revision that the store holds if another
/// writer's value was found there.
struct WriteReport {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// Revision that the store holds instead of the written one; 0 if not known.
  Revision StoredRevision;
  std::string Message;
};

} // namespace savorylb

#endif // SAVORYCTL_WRITE_REPORT_H
