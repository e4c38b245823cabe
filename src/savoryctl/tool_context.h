#ifndef SAVORYCTL_TOOL_CONTEXT_H
#define SAVORYCTL_TOOL_CONTEXT_H

#include "savorylb/error.h"
#include "savorylb/store_client.h"
#include "savorylb/units.h"

#include <functional>
#include <string>

namespace savorylb {

/// Interfaces of savoryctl to the store, daemons, clocks and random source;
/// tests replace them.
struct ToolContext {
  StoreClient Store;
  /// Sends GET to a daemon's admin interface; the result is that of
  /// callDaemon(), the response body for any 2xx status.
  std::function<Result<std::string>(const std::string &endpoint,
                                    const std::string &path)>
      DaemonGet;
  std::function<Result<std::string>(const std::string &endpoint,
                                    const std::string &path)>
      DaemonPost;
  std::function<WallTime()> Now;
  std::function<void(Duration)> Sleep;
  /// 64 random hexadecimal digits; empty if the random source fails.
  std::function<std::string()> RandomHex;
  /// Recorded in the history of the configuration.
  std::string Operator;
};

} // namespace savorylb

#endif // SAVORYCTL_TOOL_CONTEXT_H
