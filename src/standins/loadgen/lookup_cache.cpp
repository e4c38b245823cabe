#include "lookup_cache.h"

#include "http_io.h"

#include "savorylb/hash.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

using namespace std::chrono;

namespace savorylb::standin {

namespace {

// Requests wait for the lookup, so a daemon that does not answer must not use
// up their deadlines.
constexpr microseconds LookupTimeout = milliseconds(300);
// Applies to an answer without ttl_ms.
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
                         const std::vector<std::string> &daemons, bool noLookup,
                         ConnectionPool &pool)
    : Plan(plan), Daemons(daemons), NoLookup(noLookup), Pool(pool),
      NextDaemon(stableHash(plan.Team + plan.Service + plan.Client) %
                 daemons.size()) {}

LookupResult LookupCache::get() {
  std::lock_guard<std::mutex> guard(Lock);
  if (NoLookup) {
    Cached.Vms = Daemons;
    return Cached;
  }
  if (!Cached.Vms.empty() && steady_clock::now() < Cached.Expires)
    return Cached;
  Cached = LookupResult();
  // Starts with the daemon that answered last.
  for (std::size_t i = 0; i < Daemons.size(); ++i, ++NextDaemon)
    if (lookUp(Daemons[NextDaemon % Daemons.size()]))
      break;
  return Cached;
}

bool LookupCache::lookUp(const std::string &daemon) {
  std::string uri = "/v1/lookup?service=";
  Poco::URI::encode(Plan.Service, "&?#+", uri);
  if (!Plan.Client.empty())
    Poco::URI::encode(Plan.Client, "&?#+", uri += "&client=");
  Poco::Net::HTTPRequest req("GET", uri, Poco::Net::HTTPMessage::HTTP_1_1);
  auto start = steady_clock::now();
  ++Sent;
  auto attempt = Pool.exchange(daemon, req, "", LookupTimeout);
  try {
    if (attempt.Reached == Attempt::Progress::ResponseReceived &&
        attempt.Status == 200 && !attempt.Truncated) {
      auto doc = parseJson(attempt.Body);
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
