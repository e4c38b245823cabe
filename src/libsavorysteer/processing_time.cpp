#include "processing_time.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace savorylb {
namespace {

/// Measurements form two groups if the means of the groups differ by at least
/// this ratio; below it, the choice between targets hardly depends on the kind
/// of execution.
constexpr double MinGroupRatio = 2;
/// Size from which a group is taken for one, so that single outliers are not.
constexpr std::size_t MinGroupSize = 2;
/// Measurements from which the mean of cached executions may be raised.
constexpr std::size_t MinSamples = 8;

struct Groups {
  double LowMs = 0;
  double HighMs = 0;
  std::size_t LowSize = 0;
  std::size_t HighSize = 0;
};

/// Separates values so that the variance between the groups is largest.
/// \param logs sorted logarithms of times in ms, not empty.
/// \returns geometric means; a single group is the low one.
Groups separate(const std::vector<double> &logs) {
  double sum = std::accumulate(logs.begin(), logs.end(), 0.0);
  auto n = static_cast<double>(logs.size());
  Groups best{std::exp(sum / n), 0, logs.size(), 0};
  double bestVariance = 0;
  double lowSum = 0;
  for (std::size_t i = 1; i < logs.size(); ++i) {
    lowSum += logs[i - 1];
    auto low = static_cast<double>(i);
    double lowMean = lowSum / low;
    double highMean = (sum - lowSum) / (n - low);
    double variance =
        low * (n - low) * (highMean - lowMean) * (highMean - lowMean);
    if (variance <= bestVariance)
      continue;
    bestVariance = variance;
    best = {std::exp(lowMean), std::exp(highMean), i, logs.size() - i};
  }
  return best;
}

/// \returns the time that is as close to one mean as to the other.
double middleMs(const ProcessingTime &mean) {
  return std::sqrt(mean.CachedMs * mean.UncachedMs);
}

/// \returns whether one of the means is so far from all measurements that none
///          will update it.
bool isStuck(const ProcessingTime &mean) {
  auto [least, most] = std::minmax_element(
      mean.Recent.begin(), mean.Recent.end(),
      [](const auto &a, const auto &b) { return a.TookMs < b.TookMs; });
  return mean.UncachedMs > MinGroupRatio * most->TookMs ||
         MinGroupRatio * mean.CachedMs < least->TookMs;
}

/// Determines the means again from all kept measurements.
void determineAgain(ProcessingTime &mean) {
  std::vector<double> logs;
  for (const ProcessingSample &it : mean.Recent)
    logs.push_back(std::log(it.TookMs));
  std::sort(logs.begin(), logs.end());
  Groups groups = separate(logs);
  if (std::min(groups.LowSize, groups.HighSize) >= MinGroupSize &&
      groups.HighMs >= MinGroupRatio * groups.LowMs) {
    mean.CachedMs = groups.LowMs;
    mean.UncachedMs = groups.HighMs;
  }
}

/// Determines the mean of cached executions again if they are known to take
/// longer than the point from which they count as uncached.
void raiseCachedMean(ProcessingTime &mean) {
  double middle = middleMs(mean);
  double sum = 0;
  std::size_t known = 0;
  for (const ProcessingSample &it : mean.Recent) {
    if (it.TookMs < middle)
      return;
    sum += it.Cached ? std::log(it.TookMs) : 0;
    known += it.Cached ? 1 : 0;
  }
  if (known < MinGroupSize)
    return;
  mean.CachedMs = std::exp(sum / static_cast<double>(known));
  mean.UncachedMs = std::max(mean.UncachedMs, mean.CachedMs);
}

} // namespace

void addProcessingSample(ProcessingTime &mean, double tookMs, bool cached) {
  if (mean.Recent.size() < ProcessingSamples)
    mean.Recent.emplace_back();
  mean.Recent[mean.Next] = {tookMs, cached};
  mean.Next = (mean.Next + 1) % ProcessingSamples;
  double &closer = tookMs < middleMs(mean) ? mean.CachedMs : mean.UncachedMs;
  closer += ProcessingTimeWeight * (tookMs - closer);
  if (mean.Recent.size() >= MinSamples)
    raiseCachedMean(mean);
  if (mean.Recent.size() == ProcessingSamples && isStuck(mean))
    determineAgain(mean);
}

} // namespace savorylb
