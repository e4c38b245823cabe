#include "target.h"

#include "http_io.h"

#include "savorylb/hash.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <chrono>
#include <functional>

using Poco::NumberParser;

namespace savorylb::standin {

namespace {

// Factor on the service time at the start of the cold phase.
constexpr double ColdSlowdown = 4;
// A draining target may still receive requests for this long; they are not
// counted as after_drain.
constexpr std::chrono::seconds DrainGrace(3);

using Setter = std::function<void(TargetFaults &, const std::string &)>;

Setter integerSetter(std::int64_t TargetFaults::*member) {
  return [member](TargetFaults &f, const std::string &v) {
    f.*member = NumberParser::parse64(v);
  };
}

Setter textSetter(std::string TargetFaults::*member) {
  return [member](TargetFaults &f, const std::string &v) { f.*member = v; };
}

// Settings that change only the faults.
const std::map<std::string, Setter> &faultSetters() {
  using F = TargetFaults;
  static const std::map<std::string, Setter> all{
      {"fail_ppm", integerSetter(&F::FailPpm)},
      {"fail_route", textSetter(&F::FailRoute)},
      {"slow_ms", integerSetter(&F::SlowMs)},
      {"slow_route", textSetter(&F::SlowRoute)},
      {"late_ms", integerSetter(&F::ResponseDelayMs)},
      {"truncate_ppm", integerSetter(&F::TruncatePpm)},
      {"cross_ppm", integerSetter(&F::SwapPpm)},
      {"close_ppm", integerSetter(&F::ClosePpm)},
      {"load_lag_ms", integerSetter(&F::LoadLagMs)},
      {"cancel_lag_ms", integerSetter(&F::CancelLagMs)},
      {"big_bytes", integerSetter(&F::PaddingBytes)},
      {"fail_status",
       [](F &f, const std::string &v) {
         f.FailStatus = NumberParser::parse(v);
       }},
      {"shed",
       [](F &f, const std::string &v) {
         f.Shed = NumberParser::parse(v) != 0;
       }},
      {"drain",
       [](F &f, const std::string &v) {
         bool on = NumberParser::parse(v) != 0;
         if (on && !f.Drain)
           f.DrainSince = F::Clock::now();
         f.Drain = on;
       }},
      {"cold_ms",
       [](F &f, const std::string &v) {
         f.ColdMs = NumberParser::parse64(v);
         f.ColdUntil = F::Clock::now() + std::chrono::milliseconds(f.ColdMs);
       }},
      {"health_lie",
       [](F &f, const std::string &v) {
         f.HealthOverride = v == "0" ? "" : v == "1" ? "ready" : v;
       }},
      {"load_lie",
       [](F &f, const std::string &v) {
         f.LoadOverride = v == "0" ? "" : v == "1" ? "idle" : v;
       }},
  };
  return all;
}

} // namespace

Target::Target(TargetSpec spec, const ServiceTime &time, ExecutionLog &log,
               std::vector<std::string> forbiddenValues)
    : Spec(std::move(spec)), Time(time), Log(log),
      ForbiddenValues(std::move(forbiddenValues)), Limiter(Spec.Slots),
      Epochs(new ConnectionEpochs), Random(stableHash(Spec.Name, time.Seed)) {}

void Target::set(const std::string &name, const std::string &value) {
  if (name == "silent") {
    if (NumberParser::parse(value) != 0)
      Epochs->silence();
    return;
  }
  std::lock_guard<std::mutex> guard(Lock);
  auto it = faultSetters().find(name);
  if (it != faultSetters().end()) {
    it->second(Faults, value);
    Limiter.keepSlotsOfClosed(Faults.CancelLagMs != 0);
  } else if (name == "version")
    Spec.Version = value;
  else if (name == "slots")
    Limiter.setSlots(Spec.Slots = NumberParser::parse(value));
  else if (name == "service_us")
    Time.MeanMicros = NumberParser::parse64(value);
  else
    throw Poco::InvalidArgumentException("unknown setting", name);
}

TargetFaults Target::faults() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Faults;
}

TargetSpec Target::spec() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Spec;
}

void Target::count(const std::string &name) {
  std::lock_guard<std::mutex> guard(Lock);
  ++Counts.Counters[name];
}

TargetCounts Target::counts() const {
  std::lock_guard<std::mutex> guard(Lock);
  TargetCounts out = Counts;
  out.Counters["over_slots"] = Limiter.overSlots();
  out.Counters["highest_concurrency"] = Limiter.highestConcurrency();
  out.Counters["busy_us"] =
      static_cast<std::uint64_t>(Limiter.busyTime().count());
  out.Counters["slot_us"] =
      static_cast<std::uint64_t>(Limiter.slotTime().count());
  return out;
}

void Target::resetCounts() {
  std::lock_guard<std::mutex> guard(Lock);
  Counts = TargetCounts();
  Limiter.resetCounts();
}

void Target::countRequest(const Poco::Net::HTTPServerRequest &req) {
  bool leaked = req.has("X-Tenant-Key");
  for (auto &value : ForbiddenValues) {
    leaked = leaked || req.getURI().find(value) != std::string::npos;
    for (auto &it : req)
      leaked = leaked || it.second.find(value) != std::string::npos;
  }
  using namespace std::chrono;
  auto second =
      duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
  std::lock_guard<std::mutex> guard(Lock);
  ++Counts.Counters["requests"];
  ++Counts.RequestsByVersion[Spec.Version][second];
  if (leaked)
    ++Counts.Counters["keys_seen"];
  if (Faults.Drain &&
      TargetFaults::Clock::now() - Faults.DrainSince > DrainGrace)
    ++Counts.Counters["after_drain"];
}

bool Target::drawFault(std::int64_t ppm) {
  if (ppm <= 0)
    return false;
  std::lock_guard<std::mutex> guard(Lock);
  return std::uniform_int_distribution<std::int64_t>(0, 999'999)(Random) < ppm;
}

std::int64_t Target::serviceMicros(const std::string &path) {
  std::lock_guard<std::mutex> guard(Lock);
  double micros = static_cast<double>(Time.MeanMicros);
  if (Time.Exponential && micros > 0)
    micros = std::exponential_distribution<double>(1 / micros)(Random);
  auto now = TargetFaults::Clock::now();
  if (now < Faults.ColdUntil && Faults.ColdMs > 0) {
    std::chrono::duration<double, std::milli> left = Faults.ColdUntil - now;
    micros *= 1 + (ColdSlowdown - 1) * left.count() /
                      static_cast<double>(Faults.ColdMs);
  }
  if (path.rfind(Faults.SlowRoute, 0) == 0)
    micros += static_cast<double>(Faults.SlowMs) * 1000;
  return static_cast<std::int64_t>(micros);
}

void Target::sendHealth(Poco::Net::HTTPServerResponse &resp) {
  auto f = faults();
  Json::Value out;
  out["status"] = !f.HealthOverride.empty()                  ? f.HealthOverride
                  : f.Drain                                  ? "draining"
                  : TargetFaults::Clock::now() < f.ColdUntil ? "cold"
                                                             : "ready";
  sendJson(resp, 200, out);
}

void Target::sendLoad(Poco::Net::HTTPServerResponse &resp) {
  auto f = faults();
  int slots = Limiter.slots();
  int busy = Limiter.busy();
  if (f.LoadLagMs > 0)
    busy = Limiter.busyAt(SlotLimiter::Clock::now() -
                          std::chrono::milliseconds(f.LoadLagMs));
  bool overridden = !f.LoadOverride.empty();
  Json::Value out;
  out["slots"] = f.LoadOverride == "idle" ? 2 * slots : slots;
  out["busy"] = f.LoadOverride == "idle"   ? 0
                : f.LoadOverride == "busy" ? slots
                                           : busy;
  out["version"] = spec().Version;
  // An overridden report claims to be current.
  out["age_ms"] = static_cast<Json::Int64>(overridden ? 0 : f.LoadLagMs);
  out["draining"] = !overridden && f.Drain;
  out["shedding"] = !overridden && f.Shed;
  sendJson(resp, 200, out);
}

} // namespace savorylb::standin
