#include "overload_control.h"

#include <algorithm>

namespace savorylb {
namespace {

/// Weight of one request. A VM sends some requests a second to a service, so
/// the fraction covers the last seconds; a shorter peak ends before refusals
/// would help those that come later.
constexpr double PressureWeight = 0.02;
/// Pressure from which the bound is narrow. Random peaks of a load that the
/// targets serve stay below.
constexpr double FullPressure = 0.5;

} // namespace

void recordPressure(OverloadState &overload, double latencyFraction) {
  double late = latencyFraction > NarrowLatencyFraction ? 1 : 0;
  overload.Pressure += PressureWeight * (late - overload.Pressure);
}

double latencyBound(const OverloadState &overload) {
  double part = std::clamp(overload.Pressure / FullPressure, 0.0, 1.0);
  return WideLatencyFraction +
         part * (NarrowLatencyFraction - WideLatencyFraction);
}

} // namespace savorylb
