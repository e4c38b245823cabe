#include "savorylb/metrics.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace savorylb {
namespace {

namespace bh = boost::histogram;

/// Logarithmic latency bins from 50 us to 50 s, 20 per decade.
using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(LatencyAxis()));

LatencyHistogram makeLatencyHistogram() {
  return bh::make_histogram(LatencyAxis(120, 5e-5, 50.0));
}

struct RequestSeries {
  std::int64_t Count = 0;
  double Sum = 0;
  LatencyHistogram Total = makeLatencyHistogram();
  LatencyHistogram Added = makeLatencyHistogram();
};

/// One shard of the metrics; sharding reduces lock contention.
struct MetricShard {
  std::mutex Lock;
  std::map<std::string, RequestSeries> Requests;
  std::map<std::string, LatencyHistogram> Stages;
  /// By labels.
  std::map<std::string, std::int64_t> RouteRequests;
  std::map<std::string, std::int64_t> Counters;
  std::map<std::string, double> Gauges;
};

std::array<MetricShard, 16> &shards() {
  static std::array<MetricShard, 16> shards;
  return shards;
}

MetricShard &shardFor(const std::string &name) {
  return shards()[std::hash<std::string>()(name) % shards().size()];
}

void renderHistogram(std::ostream &out, const std::string &name,
                     const std::string &labels, const LatencyHistogram &hist) {
  double cumulative = 0;
  auto underflow = hist.at(-1);
  cumulative += underflow;
  int n = hist.axis(0).size();
  for (int i = 0; i < n; ++i) {
    cumulative += hist.at(i);
    // Exports every second bin: ten buckets per decade suffice for a reader.
    if (i % 2 == 1)
      out << name << "_bucket{" << labels << ",le=\""
          << hist.axis(0).value(i + 1) << "\"} " << cumulative << '\n';
  }
  cumulative += hist.at(n);
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << '\n';
}

} // namespace

void recordRequest(const std::string &team, const std::string &service,
                   const std::string &region, const std::string &outcome,
                   const std::string &reason, Duration total, Duration added) {
  std::string labels = "team=\"" + team + "\",service=\"" + service +
                       "\",region=\"" + region + "\",outcome=\"" + outcome +
                       "\",reason=\"" + reason + "\"";
  MetricShard &shard = shardFor(labels);
  std::lock_guard<std::mutex> guard(shard.Lock);
  RequestSeries &series = shard.Requests[labels];
  series.Count += 1;
  series.Sum += static_cast<double>(total.count()) * 1e-6;
  series.Total(static_cast<double>(total.count()) * 1e-6);
  series.Added(static_cast<double>(added.count()) * 1e-6);
}

void recordRouteRequests(const std::string &route, const std::string &outcome,
                         std::int64_t n) {
  std::string labels = "route=\"" + route + "\",outcome=\"" + outcome + '"';
  MetricShard &shard = shardFor(labels);
  std::lock_guard<std::mutex> guard(shard.Lock);
  shard.RouteRequests[labels] += n;
}

void recordStageTime(const std::string &stage, Duration took) {
  MetricShard &shard = shardFor(stage);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Stages.try_emplace(stage, makeLatencyHistogram()).first;
  it->second(static_cast<double>(took.count()) * 1e-6);
}

void incrementCounter(const std::string &name, std::int64_t n) {
  MetricShard &shard = shardFor(name);
  std::lock_guard<std::mutex> guard(shard.Lock);
  shard.Counters[name] += n;
}

std::int64_t counterValue(const std::string &name) {
  MetricShard &shard = shardFor(name);
  std::lock_guard<std::mutex> guard(shard.Lock);
  auto it = shard.Counters.find(name);
  return it == shard.Counters.end() ? 0 : it->second;
}

void recordStoreCall(StoreCall kind) {
  switch (kind) {
  case StoreCall::List:
    return incrementCounter("store_calls_list");
  case StoreCall::Watch:
    return incrementCounter("store_calls_watch");
  case StoreCall::Renewal:
    return incrementCounter("store_calls_renewal");
  case StoreCall::Lease:
    return incrementCounter("store_calls_lease");
  case StoreCall::Write:
    return incrementCounter("store_calls_write");
  }
}

void recordZoneTraffic(ZoneTraffic kind, std::size_t bytes) {
  auto n = static_cast<std::int64_t>(bytes);
  switch (kind) {
  case ZoneTraffic::Request:
    return incrementCounter("zone_bytes_request", n);
  case ZoneTraffic::Response:
    return incrementCounter("zone_bytes_response", n);
  case ZoneTraffic::Documents:
    return incrementCounter("zone_bytes_documents", n);
  case ZoneTraffic::Report:
    return incrementCounter("zone_bytes_report", n);
  case ZoneTraffic::CatchUp:
    return incrementCounter("zone_bytes_catch_up", n);
  }
}

void setGauge(const std::string &name, double value) {
  MetricShard &shard = shardFor(name);
  std::lock_guard<std::mutex> guard(shard.Lock);
  shard.Gauges[name] = value;
}

std::string renderMetrics() {
  std::ostringstream requests;
  std::ostringstream latency;
  std::ostringstream added;
  std::ostringstream stages;
  std::ostringstream routes;
  std::ostringstream others;
  for (MetricShard &shard : shards()) {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (const auto &[labels, series] : shard.Requests) {
      requests << "savorylb_requests_total{" << labels << "} " << series.Count
               << '\n';
      renderHistogram(latency, "savorylb_request_seconds", labels,
                      series.Total);
      latency << "savorylb_request_seconds_sum{" << labels << "} " << series.Sum
              << '\n'
              << "savorylb_request_seconds_count{" << labels << "} "
              << series.Count << '\n';
      renderHistogram(added, "savorylb_added_seconds", labels, series.Added);
    }
    for (const auto &[stage, latencies] : shard.Stages)
      renderHistogram(stages, "savorylb_stage_seconds",
                      "stage=\"" + stage + "\"", latencies);
    for (const auto &[labels, n] : shard.RouteRequests)
      routes << "savorylb_route_requests_total{" << labels << "} " << n << '\n';
    for (const auto &[name, value] : shard.Counters)
      others << "# TYPE savorylb_" << name << "_total counter\nsavorylb_"
             << name << "_total " << value << '\n';
    for (const auto &[name, value] : shard.Gauges)
      others << "# TYPE savorylb_" << name << " gauge\nsavorylb_" << name << ' '
             << value << '\n';
  }
  return "# TYPE savorylb_requests_total counter\n" + requests.str() +
         "# TYPE savorylb_request_seconds histogram\n" + latency.str() +
         "# TYPE savorylb_added_seconds histogram\n" + added.str() +
         "# TYPE savorylb_route_requests_total counter\n" + routes.str() +
         "# TYPE savorylb_stage_seconds histogram\n" + stages.str() +
         others.str();
}

} // namespace savorylb
