#ifndef SAVORYLB_FINDING_H
#define SAVORYLB_FINDING_H

#include <string>
#include <vector>

namespace savorylb {

/// One error in a settings or configuration file, with its location.
struct Finding {
  std::string File;
  int Line = 0;
  /// Path of the field, such as `teams[2].rate`.
  std::string Path;
  std::string Message;
};

using Findings = std::vector<Finding>;

/// \returns the findings one a line, as `file:line: path: message`.
std::string formatFindings(const Findings &findings);

} // namespace savorylb

#endif // SAVORYLB_FINDING_H
