#include "load_reports.h"

#include <algorithm>

namespace savorylb {

LoadReport makeLoadReport(std::map<TargetId, TargetState> &targets,
                          const VmId &self, MonoTime now) {
  LoadReport report;
  report.Vm = self;
  for (auto &[id, target] : targets) {
    OwnReading &own = target.LastOwnReading;
    if (own.Reported || now - own.At > MaxReadingAge)
      continue;
    own.Reported = true;
    report.Readings.push_back(
        {id, own.Requests, own.MachineSlowness, now - own.At});
  }
  std::sort(report.Readings.begin(), report.Readings.end(),
            [](const auto &a, const auto &b) { return a.Age < b.Age; });
  if (report.Readings.size() > MaxReadings)
    report.Readings.resize(MaxReadings);
  return report;
}

void applyLoadReport(std::map<TargetId, TargetState> &targets,
                     const LoadReport &report, MonoTime now) {
  for (const LoadReading &it : report.Readings) {
    auto target = targets.find(it.Target);
    if (target == targets.end() || it.Age < Duration::zero() ||
        it.Age > MaxReadingAge)
      continue;
    recordSharedLoad(target->second, it.Requests, it.MachineSlowness,
                     now - it.Age);
  }
}

} // namespace savorylb
