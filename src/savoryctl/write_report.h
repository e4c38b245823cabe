#ifndef SAVORYCTL_WRITE_REPORT_H
#define SAVORYCTL_WRITE_REPORT_H

#include "savorylb/units.h"
#include "write_outcome.h"

#include <string>

namespace savorylb {

/// Outcome of a write, with the revision in the store if another write was
/// there.
struct WriteReport {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// Revision that the store holds instead of the written one; 0 if not known.
  Revision StoredRevision;
  std::string Message;
};

} // namespace savorylb

#endif // SAVORYCTL_WRITE_REPORT_H
