#ifndef SAVORYCTL_TOOL_CONTEXT_H
#define SAVORYCTL_TOOL_CONTEXT_H

#include "savorylb/error.h"
#include "savorylb/store_client.h"
#include "savorylb/units.h"

#include <functional>
#include <string>

namespace savorylb {

/// The outside of savoryctl, replaced by mocks in tests.
struct ToolContext {
  StoreClient Store;
  /// Calls a daemon's admin interface; the response body on status 200.
  std::function<Result<std::string>(const std::string &endpoint,
                                    const std::string &path)>
      DaemonGet;
  std::function<Result<std::string>(const std::string &endpoint,
                                    const std::string &path)>
      DaemonPost;
  std::function<WallTime()> Now;
  std::function<void(Duration)> Sleep;
  /// 64 hex digits from the system's random source.
  std::function<std::string()> RandomHex;
  /// Recorded in the history of the configuration.
  std::string Operator;
};

} // namespace savorylb

#endif // SAVORYCTL_TOOL_CONTEXT_H
