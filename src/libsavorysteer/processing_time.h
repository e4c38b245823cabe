#ifndef SAVORYLB_PROCESSING_TIME_H
#define SAVORYLB_PROCESSING_TIME_H

#include <cstddef>
#include <vector>

namespace savorylb {

/// One measured processing time.
struct ProcessingSample {
  double TookMs = 0;
  /// The target is known to have had the object cached.
  bool Cached = false;
};

/// Smoothed processing times of a route's requests at the targets of a service.
struct ProcessingTime {
  double CachedMs = 0;
  double UncachedMs = 0;
  /// The last ProcessingSamples measurements, in a ring.
  std::vector<ProcessingSample> Recent = {};
  std::size_t Next = 0;
};

/// Weight of one response in a smoothed processing time.
constexpr double ProcessingTimeWeight = 0.05;
/// Measurements that are kept.
constexpr std::size_t ProcessingSamples = 32;

/// Adds a measurement of an execution of which it is not known whether it was
/// uncached; it updates the mean that is closer.
///
/// A mean that is far from all kept measurements would not change any more, as
/// the other one is closer to each. Both are then determined again from the two
/// groups that the measurements form (Otsu's method). So is the mean of cached
/// executions if such are known and all measurements are closer to the other.
/// \param tookMs in ms, at least 1.
/// \param cached the target is known to have had the object cached.
void addProcessingSample(ProcessingTime &mean, double tookMs, bool cached);

} // namespace savorylb

#endif // SAVORYLB_PROCESSING_TIME_H
