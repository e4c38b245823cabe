#ifndef SAVORYLB_SETTINGS_H
#define SAVORYLB_SETTINGS_H

#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// Settings of one daemon, read from its file at start.
struct Settings {
  VmId Vm;
  ZoneId Zone;
  RegionId Region;
  /// Address that the daemon listens on and that callers and peers use.
  std::string Address = "127.0.0.1";
  int CallerPort = 7001;
  int PeerPort = 7002;
  int AdminPort = 7003;
  /// Base URL of the platform's store, such as `http://127.0.0.1:8500`.
  std::string StoreUrl;
  /// URL of the platform's VM list.
  std::string VmListUrl;
  /// Peer endpoints for first contact while the store is down.
  std::vector<std::string> Seeds;
  /// Age of the keys above which a zone that may be cut off refuses keyed
  /// requests; 0 turns the limit off.
  Duration KeyStalenessLimit = Seconds(30);
  /// Takes a VM that the platform's list dropped 60 s ago as stopped; only
  /// safe where the platform drops a VM after it was powered off.
  bool VmListRemovalProvesStop = false;
  Duration DrainGrace = Seconds(3);
  Duration DrainLimit = Seconds(30);
  Duration IdentityRetention = Seconds(900);
  Duration DefaultDeadline = Seconds(5);
  int MaxCallerConnections = 1024;
  ByteCount MaxHeaderBytes{std::int64_t{32} * 1024};
  std::string LogFile;
  /// Writes one line for each routing decision.
  bool LogDecisions = true;
  /// Lets tests cut this daemon off from peers and store by its admin port.
  bool AllowFaultInjection = false;
};

/// Parses and checks the settings of a daemon.
///
/// Unknown fields are refused with the nearest known name.
/// \param file name used in findings.
/// \param text JSON with comments.
/// \param findings receives every mistake, with line and path.
/// \returns the settings; meaningless when there are findings.
Settings parseSettings(const std::string &file, const std::string &text,
                       Findings &findings);

} // namespace savorylb

#endif // SAVORYLB_SETTINGS_H
