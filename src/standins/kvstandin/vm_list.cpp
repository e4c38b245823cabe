#include "vm_list.h"

#include <Poco/Exception.h>

namespace savorylb::standin {

namespace {

constexpr std::size_t MaxVersions = 4096;

} // namespace

void VmList::replace(const Json::Value &doc) {
  const Json::Value &vms = doc.isObject() ? doc["vms"] : doc;
  if (!vms.isArray())
    throw Poco::SyntaxException("the VM list must be an array");
  for (auto &it : vms)
    if (!it.isObject() || !it["name"].isString())
      throw Poco::SyntaxException("each VM must be an object with a name");
  std::lock_guard<std::mutex> guard(Lock);
  std::uint64_t number = Versions.empty() ? 1 : Versions.back().Number + 1;
  Versions.push_back({Clock::now(), number, vms});
  if (Versions.size() > MaxVersions)
    Versions.pop_front();
}

void VmList::setLag(std::chrono::milliseconds n) {
  std::lock_guard<std::mutex> guard(Lock);
  Lag = n;
}

Json::Value VmList::publishedDocument() const {
  std::lock_guard<std::mutex> guard(Lock);
  Json::Value out;
  out["version"] = 0;
  out["age_ms"] = static_cast<Json::Int64>(Lag.count());
  out["vms"] = Json::Value(Json::arrayValue);
  auto publishedAt = Clock::now() - Lag;
  // The oldest version is valid for all earlier times, so that there is a list
  // even when the lag reaches beyond it.
  for (auto &it : Versions) {
    if (it.Since > publishedAt && &it != &Versions.front())
      break;
    out["version"] = static_cast<Json::UInt64>(it.Number);
    out["vms"] = it.Vms;
  }
  return out;
}

} // namespace savorylb::standin
