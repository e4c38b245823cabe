#include "lookup_cache.h"

#include "http_io.h"

#include "savorylb/hash.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

using namespace std::chrono;

namespace savorylb::standin {

namespace {

// Requests wait for the lookup, so a silent daemon must not use up their
// deadlines.
constexpr microseconds LookupLimit = milliseconds(300);
// Applies to an answer without a ttl.
constexpr std::int64_t DefaultTtlMs = 1000;

std::string addressOf(const Json::Value &vm) {
  if (vm.isString())
    return vm.asString();
  if (!vm.isObject())
    return "";
  for (auto *name : {"endpoint", "caller_endpoint", "address"})
    if (vm[name].isString())
      return vm[name].asString();
  return "";
}

} // namespace

LookupCache::LookupCache(const StreamPlan &plan,
                         const std::vector<std::string> &daemons, bool direct,
                         ConnectionPool &pool)
    : Plan(plan), Daemons(daemons), Direct(direct), Pool(pool),
      Next(stableHash(plan.Team + plan.Service + plan.Client) %
           daemons.size()) {}

LookupResult LookupCache::get() {
  std::lock_guard<std::mutex> guard(Lock);
  if (Direct) {
    Cached.Vms = Daemons;
    return Cached;
  }
  if (!Cached.Vms.empty() && steady_clock::now() < Cached.Expires)
    return Cached;
  Cached = LookupResult();
  // Stays with the daemon that answered last.
  for (std::size_t i = 0; i < Daemons.size(); ++i, ++Next)
    if (ask(Daemons[Next % Daemons.size()]))
      break;
  return Cached;
}

bool LookupCache::ask(const std::string &daemon) {
  std::string uri = "/v1/lookup?service=";
  Poco::URI::encode(Plan.Service, "&?#+", uri);
  if (!Plan.Client.empty())
    Poco::URI::encode(Plan.Client, "&?#+", uri += "&client=");
  Poco::Net::HTTPRequest req("GET", uri, Poco::Net::HTTPMessage::HTTP_1_1);
  auto start = steady_clock::now();
  ++Sent;
  auto got = Pool.exchange(daemon, req, "", LookupLimit);
  try {
    if (got.End == Attempt::Kind::Answered && got.Status == 200 && !got.Cut) {
      auto doc = parseJson(got.Body);
      for (auto &vm : doc["vms"])
        if (auto it = addressOf(vm); !it.empty())
          Cached.Vms.push_back(it);
      Cached.IdentityPrefix = doc.get("identity_prefix", "").asString();
      Cached.Expires =
          start +
          milliseconds(doc.get("ttl_ms", Json::Int64(DefaultTtlMs)).asInt64());
    }
  } catch (const std::exception &) {
    // A malformed answer counts as a failed lookup.
    Cached = LookupResult();
  }
  if (Cached.Vms.empty()) {
    ++Failed;
    return false;
  }
  Latencies.push_back(static_cast<std::uint32_t>(
      duration_cast<microseconds>(steady_clock::now() - start).count()));
  return true;
}

std::uint64_t LookupCache::sent() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Sent;
}

std::uint64_t LookupCache::failed() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Failed;
}

std::vector<std::uint32_t> LookupCache::latencies() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Latencies;
}

} // namespace savorylb::standin
