#ifndef SAVORYLB_VM_SETTINGS_H
#define SAVORYLB_VM_SETTINGS_H

#include "savorylb/error.h"
#include "savorylb/finding.h"
#include "savorylb/ids.h"
#include "savorylb/units.h"

#include <map>
#include <string>

namespace savorylb {

/// Settings of one VM, from a JSON file with comments. All values are texts,
/// times with the unit `ms` or `s`.
struct VmSettings {
  VmId Vm;
  ZoneId Zone;
  RegionId Region;
  std::string Address;
  std::map<ZoneId, RegionId> Zones;
  /// `ip:port` each.
  std::string CallerAddress;
  std::string ReadyAddress;
  std::string LookupAddress;
  std::string StoreAddress;
  /// TCP and UDP between VMs.
  int PeerPort = 0;
  /// The shortest lease that the store gives.
  Millis MinLease{1000};
  /// Longest time that callers keep a lookup answer.
  Millis LookupMaxAge{5000};
  /// From the stop signal to the end of the process.
  Millis StopGrace{6000};
  /// Bounds of repeated requests over all VMs.
  double RepeatRatio = 0.2;
  Millis RepeatWindow{10000};
  double RepeatSlack = 0;
  /// Share of a service's requests that a bad version may get.
  double TrialShare = 0.1;
};

/// Reads settings; all mistakes are found together.
/// \param file for the places of findings.
/// \param text the file's text.
/// \param findings gets what is wrong.
/// \returns the settings; not to be used when there are findings.
VmSettings readVmSettings(const std::string &file, const std::string &text,
                          Findings &findings);

} // namespace savorylb

#endif // SAVORYLB_VM_SETTINGS_H
