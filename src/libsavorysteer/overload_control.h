#ifndef SAVORYLB_OVERLOAD_CONTROL_H
#define SAVORYLB_OVERLOAD_CONTROL_H

namespace savorylb {

/// How often requests for a service meet queues in which they become late.
struct OverloadState {
  /// Fraction of the recent requests whose best target was not expected to
  /// answer within NarrowLatencyFraction of the latency target.
  double Pressure = 0;
};

/// Largest expected latency of a request that is sent into a queue, as a
/// fraction of its latency target, without overload. Expected latencies are
/// means, so many requests beyond the target are in time after all, and a late
/// response is worth more to a caller than a refusal.
constexpr double WideLatencyFraction = 2.5;
/// The same under lasting overload, when each request that waits makes another
/// one late.
constexpr double NarrowLatencyFraction = 1;

/// Records the placement of one request.
/// \param latencyFraction expected latency at the best target, as a fraction of
///        the latency target; 0 if it has a free slot.
void recordPressure(OverloadState &overload, double latencyFraction);

/// Answers a load that is beyond what the targets serve, for seconds or longer:
/// queues must then stay so short that the requests that are sent are in time.
/// \returns the largest expected latency of a request that is sent into a
/// queue,
///          as a fraction of its latency target.
double latencyBound(const OverloadState &overload);

} // namespace savorylb

#endif // SAVORYLB_OVERLOAD_CONTROL_H
