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

// A cold target's first requests take this many times the normal time.
constexpr double ColdFactor = 4;
// A departing target may still get work for this long.
constexpr std::chrono::seconds DrainNotice(3);

using Setter = std::function<void(TargetFaults &, const std::string &)>;

Setter number(std::int64_t TargetFaults::*member) {
  return [member](TargetFaults &f, const std::string &v) {
    f.*member = NumberParser::parse64(v);
  };
}

Setter text(std::string TargetFaults::*member) {
  return [member](TargetFaults &f, const std::string &v) { f.*member = v; };
}

// Settings that touch nothing but the faults.
const std::map<std::string, Setter> &setters() {
  using F = TargetFaults;
  static const std::map<std::string, Setter> all{
      {"fail_ppm", number(&F::FailPpm)},
      {"fail_route", text(&F::FailRoute)},
      {"slow_ms", number(&F::SlowMs)},
      {"slow_route", text(&F::SlowRoute)},
      {"late_ms", number(&F::LateMs)},
      {"truncate_ppm", number(&F::TruncatePpm)},
      {"cross_ppm", number(&F::CrossPpm)},
      {"close_ppm", number(&F::ClosePpm)},
      {"load_lag_ms", number(&F::LoadLagMs)},
      {"cancel_lag_ms", number(&F::CancelLagMs)},
      {"big_bytes", number(&F::BigBytes)},
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
         f.HealthLie = v == "0" ? "" : v == "1" ? "ready" : v;
       }},
      {"load_lie",
       [](F &f, const std::string &v) {
         f.LoadLie = v == "0" ? "" : v == "1" ? "idle" : v;
       }},
  };
  return all;
}

} // namespace

Target::Target(TargetSpec spec, const ServiceTime &time, ExecutionLog &log,
               std::vector<std::string> forbidden)
    : Spec(std::move(spec)), Time(time), Log(log),
      Forbidden(std::move(forbidden)), Gate(Spec.Slots),
      Epochs(new ConnectionEpochs), Random(stableHash(Spec.Name, time.Seed)) {}

void Target::set(const std::string &name, const std::string &value) {
  if (name == "silent") {
    if (NumberParser::parse(value) != 0)
      Epochs->silence();
    return;
  }
  std::lock_guard<std::mutex> guard(Lock);
  auto it = setters().find(name);
  if (it != setters().end()) {
    it->second(Faults, value);
    Gate.keepClosed(Faults.CancelLagMs != 0);
  } else if (name == "version")
    Spec.Version = value;
  else if (name == "slots")
    Gate.setSlots(Spec.Slots = NumberParser::parse(value));
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
  ++Counts.Numbers[name];
}

TargetCounts Target::counts() const {
  std::lock_guard<std::mutex> guard(Lock);
  TargetCounts out = Counts;
  out.Numbers["over_slots"] = Gate.overSlots();
  out.Numbers["highest_concurrency"] = Gate.highest();
  out.Numbers["busy_us"] = static_cast<std::uint64_t>(Gate.busyTime().count());
  out.Numbers["slot_us"] = static_cast<std::uint64_t>(Gate.slotTime().count());
  return out;
}

void Target::resetCounts() {
  std::lock_guard<std::mutex> guard(Lock);
  Counts = TargetCounts();
  Gate.resetCounts();
}

void Target::noteRequest(const Poco::Net::HTTPServerRequest &req) {
  bool seen = req.has("X-Tenant-Key");
  for (auto &value : Forbidden) {
    seen = seen || req.getURI().find(value) != std::string::npos;
    for (auto &it : req)
      seen = seen || it.second.find(value) != std::string::npos;
  }
  using namespace std::chrono;
  auto second =
      duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
  std::lock_guard<std::mutex> guard(Lock);
  ++Counts.Numbers["requests"];
  ++Counts.Versions[Spec.Version][second];
  if (seen)
    ++Counts.Numbers["keys_seen"];
  if (Faults.Drain &&
      TargetFaults::Clock::now() - Faults.DrainSince > DrainNotice)
    ++Counts.Numbers["after_drain"];
}

bool Target::chance(std::int64_t ppm) {
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
    micros *= 1 + (ColdFactor - 1) * left.count() /
                      static_cast<double>(Faults.ColdMs);
  }
  if (path.rfind(Faults.SlowRoute, 0) == 0)
    micros += static_cast<double>(Faults.SlowMs) * 1000;
  return static_cast<std::int64_t>(micros);
}

void Target::answerHealth(Poco::Net::HTTPServerResponse &resp) {
  auto f = faults();
  Json::Value out;
  out["status"] = !f.HealthLie.empty()                       ? f.HealthLie
                  : f.Drain                                  ? "draining"
                  : TargetFaults::Clock::now() < f.ColdUntil ? "cold"
                                                             : "ready";
  sendJson(resp, 200, out);
}

void Target::answerLoad(Poco::Net::HTTPServerResponse &resp) {
  auto f = faults();
  int slots = Gate.slots();
  int busy = Gate.busy();
  if (f.LoadLagMs > 0)
    busy = Gate.busyAt(SlotGate::Clock::now() -
                       std::chrono::milliseconds(f.LoadLagMs));
  bool lies = !f.LoadLie.empty();
  Json::Value out;
  out["slots"] = f.LoadLie == "idle" ? 2 * slots : slots;
  out["busy"] = f.LoadLie == "idle" ? 0 : f.LoadLie == "busy" ? slots : busy;
  out["version"] = spec().Version;
  // A lying report claims to be fresh.
  out["age_ms"] = static_cast<Json::Int64>(lies ? 0 : f.LoadLagMs);
  out["draining"] = !lies && f.Drain;
  out["shedding"] = !lies && f.Shed;
  sendJson(resp, 200, out);
}

} // namespace savorylb::standin
