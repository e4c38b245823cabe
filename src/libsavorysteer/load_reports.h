#ifndef SAVORYLB_LOAD_REPORTS_H
#define SAVORYLB_LOAD_REPORTS_H

#include "target_state.h"

#include <map>
#include <vector>

namespace savorylb {

/// A target's load as one VM read it from a response.
struct LoadReading {
  TargetId Target;
  /// Requests that were running or waiting at the target, of all VMs.
  int Requests = 0;
  /// Slowness of the target's machine in percent; 0 if the target sends none.
  int MachineSlowness = 0;
  /// Time since the reading.
  Duration Age{0};
};

/// Readings of one VM, for the VMs of its availability zone.
struct LoadReport {
  VmId Vm;
  std::vector<LoadReading> Readings;
};

/// Most readings of one report. A VM with more keeps those of the targets from
/// which it heard last; bounds the size of a datagram to about 1,200 bytes.
constexpr std::size_t MaxReadings = 40;
/// Readings of another VM that are older than this are ignored.
constexpr Duration MaxReadingAge = Millis(2000);

/// Collects the loads that this VM itself has read since its last report.
/// \param targets the VM's targets; those reported are marked as such.
/// \returns a report without readings if there is nothing to tell.
LoadReport makeLoadReport(std::map<TargetId, TargetState> &targets,
                          const VmId &self, MonoTime now);

/// Applies the readings of another VM. Older readings than the known ones and
/// those of unknown targets are ignored.
void applyLoadReport(std::map<TargetId, TargetState> &targets,
                     const LoadReport &report, MonoTime now);

} // namespace savorylb

#endif // SAVORYLB_LOAD_REPORTS_H
