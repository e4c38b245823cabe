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
/// Measurements from which both means may be determined again.
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

/// \returns whether one of the means was closer to all kept measurements.
bool isOneSided(const ProcessingTime &mean) {
  double middle = middleMs(mean);
  auto below = std::count_if(
      mean.Recent.begin(), mean.Recent.end(),
      [&](const ProcessingSample &it) { return it.TookMs < middle; });
  return below == 0 || below == static_cast<std::ptrdiff_t>(mean.Recent.size());
}

void determineAgain(ProcessingTime &mean) {
  std::vector<double> logs;
  bool anyCached = false;
  for (const ProcessingSample &it : mean.Recent) {
    logs.push_back(std::log(it.TookMs));
    anyCached = anyCached || it.Cached;
  }
  std::sort(logs.begin(), logs.end());
  Groups groups = separate(logs);
  if (std::min(groups.LowSize, groups.HighSize) >= MinGroupSize &&
      groups.HighMs >= MinGroupRatio * groups.LowMs) {
    mean.CachedMs = groups.LowMs;
    mean.UncachedMs = groups.HighMs;
  } else if (anyCached && logs.front() >= std::log(middleMs(mean))) {
    mean.CachedMs = std::exp(std::accumulate(logs.begin(), logs.end(), 0.0) /
                             static_cast<double>(logs.size()));
    mean.UncachedMs = std::max(mean.UncachedMs, mean.CachedMs);
  }
}

} // namespace

void addProcessingSample(ProcessingTime &mean, double tookMs, bool cached) {
  if (mean.Recent.size() < ProcessingSamples)
    mean.Recent.emplace_back();
  mean.Recent[mean.Next] = {tookMs, cached};
  mean.Next = (mean.Next + 1) % ProcessingSamples;
  double &closer = tookMs < middleMs(mean) ? mean.CachedMs : mean.UncachedMs;
  closer += ProcessingTimeWeight * (tookMs - closer);
  if (mean.Recent.size() >= MinSamples && isOneSided(mean))
    determineAgain(mean);
}

} // namespace savorylb
