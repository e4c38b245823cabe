#ifndef SAVORYLB_STANDINS_TARGET_SPEC_H
#define SAVORYLB_STANDINS_TARGET_SPEC_H

#include <string>

namespace savorylb::standin {

/// Initial configuration of a target.
struct TargetSpec {
  std::string Name;
  int Port = 0;
  int Slots = 1;
  std::string Version = "v1";
  std::string Zone;
  std::string Service;
};

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_TARGET_SPEC_H
