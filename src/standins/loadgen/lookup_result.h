#ifndef SAVORYLB_STANDINS_LOOKUP_RESULT_H
#define SAVORYLB_STANDINS_LOOKUP_RESULT_H

#include <chrono>
#include <string>
#include <vector>

namespace savorylb::standin {

/// Answer to a lookup.
struct LookupResult {
  /// Addresses of the VMs, best first; empty when no daemon answered.
  std::vector<std::string> Vms;
  std::string IdentityPrefix;
  std::chrono::steady_clock::time_point Expires;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_LOOKUP_RESULT_H
