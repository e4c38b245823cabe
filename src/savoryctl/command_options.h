#ifndef SAVORYCTL_COMMAND_OPTIONS_H
#define SAVORYCTL_COMMAND_OPTIONS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// Values of the options and arguments of all commands.
struct CommandOptions {
  std::string File;
  /// Name of a target, region, VM or rollout, or the attempt id for `explain`.
  std::string Name;
  std::string Team;
  std::string Label;
  std::string Zone;
  std::string Admin;
  std::vector<std::string> Daemons;
  std::optional<std::int64_t> ExpectedRevision;
  bool Undo = false;
  bool Confirmed = false;
};

} // namespace savorylb

#endif // SAVORYCTL_COMMAND_OPTIONS_H
