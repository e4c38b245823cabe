#ifndef SAVORYLB_SETTINGS_H
#define SAVORYLB_SETTINGS_H

#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <string>
#include <vector>

namespace savorylb {

/// Settings of one daemon, read from a file at startup.
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
  /// Age of the keys above which a zone that may be partitioned refuses
  /// requests with a key; 0 disables the limit.
  Duration KeyStalenessLimit = Seconds(30);
  /// Treats a VM as stopped 60 s after it was removed from the platform's list.
  /// Safe only if the platform removes a VM after powering it off.
  bool VmListRemovalProvesStop = false;
  /// Minimum time for which a draining daemon keeps accepting requests.
  Duration DrainGrace = Seconds(3);
  /// Limit of the whole drain, at least DrainGrace.
  Duration DrainLimit = Seconds(30);
  /// How long ledger entries are kept, counted from when the request began.
  Duration IdentityRetention = Seconds(900);
  /// Deadline of requests without X-Deadline-Ms, counted from their arrival.
  Duration DefaultDeadline = Seconds(5);
  int MaxCallerConnections = 1024;
  ByteCount MaxHeaderBytes{std::int64_t{32} * 1024};
  std::string LogFile;
  /// Logs each lookup, slot decision, placement and completed request. Refused
  /// requests and unknown outcomes are always logged.
  bool LogDecisions = true;
  /// Lets tests disconnect this daemon from its peers and the store through its
  /// admin port.
  bool AllowFaultInjection = false;
};

/// Parses and validates the settings of a daemon.
///
/// Unknown fields are errors that suggest the nearest known name.
/// \param file file name used in findings.
/// \param text JSON with comments.
/// \param findings receives all errors, with line and path.
/// \returns the settings; valid only if nothing was added to findings.
Settings parseSettings(const std::string &file, const std::string &text,
                       Findings &findings);

} // namespace savorylb

#endif // SAVORYLB_SETTINGS_H
