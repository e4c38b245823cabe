#ifndef SAVORYLB_VM_SETTINGS_H
#define SAVORYLB_VM_SETTINGS_H

#include "savorylb/error.h"
#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <string>

namespace savorylb {

/// Settings of the duties that one VM at a time performs for all.
struct DutySettings {
  /// Whether the platform expects usage reports. Set by `duties`, a list
  /// separated by commas that contains `usage_reporting`.
  bool UsageReporting = false;
  /// Address of the platform's interface for reports, `ip:port`.
  std::string PlatformApiAddress;
  /// Calls per second that the platform accepts from all VMs together.
  double CallsPerSecond = 1;
  Millis Lease{3000};
  /// Time before the end of a lease from which its holder no longer acts.
  Millis LeaseMargin{300};
  /// The platform refuses calls with a lower fencing token than it has seen.
  bool Fencing = true;
  /// Length of the window that a usage report covers.
  Millis UsageWindow{0};
  /// Time after the end of a window within which its report is due.
  Millis UsageDue{10000};
};

/// Settings of one VM, read from a JSON file with comments. All values except
/// `zones` are strings; durations carry the unit `ms` or `s`.
struct VmSettings {
  VmId Vm;
  ZoneId Zone;
  RegionId Region;
  std::string Address;
  std::map<ZoneId, RegionId> Zones;
  /// Addresses of the form `ip:port`.
  std::string CallerAddress;
  std::string ReadyAddress;
  std::string LookupAddress;
  std::string StoreAddress;
  /// TCP and UDP port for traffic between VMs.
  int PeerPort = 0;
  /// Shortest lease that the store grants.
  Millis MinLease{1000};
  /// Longest time that callers may cache a lookup response; savorylb uses at
  /// most 2 s.
  Millis LookupMaxAge{5000};
  /// Longest time from the stop signal to the end of the process.
  Millis StopGrace{6000};
  /// Retry budget of a service over all VMs: within the window, at most
  /// ratio * requests + slack retries. The settings are `repeat_ratio`,
  /// `repeat_window` and `repeat_slack`.
  double RetryBudgetRatio = 0.2;
  Millis RetryBudgetWindow{10000};
  double RetryBudgetSlack = 0;
  /// Share of a service's requests, 0 to 1, that a bad version may receive. Set
  /// by `trial_share`.
  double MaxBadShare = 0.1;
  /// Requests beyond that share that it may receive, over all VMs. Set by
  /// `trial_slack`.
  double MaxBadSlack = 0;
  DutySettings Duty;
  /// Interval at which VMs share the loads of targets; 0 for never.
  Millis LoadReportInterval{0};
  /// Targets of a region that should have an object cached; 1 for no replicas.
  int ObjectReplicas = 1;
  /// Objects of one service that a target is expected to keep cached.
  int CachedObjects = 12;
  /// Less urgent requests leave slots to more urgent ones, and requests that
  /// would be late because of queues are refused. Set by `overload_control`,
  /// which is `on` or empty.
  bool OverloadControl = false;
  /// Reports between VMs are compressed. Set by `compress_reports`, which is
  /// `on` or empty.
  bool CompressReports = false;
};

/// Reads a settings file.
/// \returns its content; empty if it cannot be read.
std::string readSettingsFile(const std::string &file);

/// Parses the settings and reports all errors at once.
/// \param file name of the file, for the findings.
/// \param text content of the file.
/// \param findings receives the errors.
/// \returns the settings; they must not be used when there are findings.
VmSettings readVmSettings(const std::string &file, const std::string &text,
                          Findings &findings);

} // namespace savorylb

#endif // SAVORYLB_VM_SETTINGS_H
