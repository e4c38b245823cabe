#ifndef SAVORYCTL_WRITE_REPORT_H
#define SAVORYCTL_WRITE_REPORT_H

#include "savorylb/units.h"
#include "write_outcome.h"

#include <string>

namespace savorylb {

/// A write's outcome and what the store holds instead.
struct WriteReport {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// Revision that the store holds when it is not the written one.
  Revision StoredRevision;
  std::string Message;
};

} // namespace savorylb

#endif // SAVORYCTL_WRITE_REPORT_H
