#include "savorylb/finding.h"

namespace savorylb {

std::string formatFindings(const Findings &findings) {
  std::string out;
  for (const Finding &it : findings) {
    out += it.File + ":" + std::to_string(it.Line) + ": ";
    if (!it.Path.empty())
      out += it.Path + ": ";
    out += it.Message + "\n";
  }
  return out;
}

} // namespace savorylb
