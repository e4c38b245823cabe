#include "savorylb/key_ring.h"

#include "json_object.h"

#include <algorithm>
#include <json/json.h>
#include <memory>
#include <unordered_set>

namespace savorylb {

namespace {

constexpr std::size_t PrefixDigits = 16;
constexpr std::size_t DigestDigits = 64;

bool isDigest(const std::string &text) {
  return text.size() == DigestDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

// Compares in constant time, so that response times reveal nothing about a
// digest. Both strings must have DigestDigits characters.
bool equalConstantTime(const std::string &a, const std::string &b) {
  unsigned diff = 0;
  for (std::size_t i = 0; i < DigestDigits; ++i)
    diff |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  return diff == 0;
}

std::string parseEntry(const Json::Value &value, KeyEntry &entry) {
  if (!value.isObject())
    return "must be an object";
  for (const char *name : {"digest", "team", "label"})
    if (!value[name].isString())
      return std::string(name) + " must be a string";
  entry.Digest = value["digest"].asString();
  entry.Team = TeamId(value["team"].asString());
  entry.Label = value["label"].asString();
  if (!isDigest(entry.Digest))
    return "digest must be 64 lower-case hex digits";
  if (entry.Team.empty())
    return "team is empty";
  // An unreadable value must not be taken for a valid key.
  if (value.isMember("revoked") && !value["revoked"].isBool())
    return "revoked must be true or false";
  entry.Revoked = value["revoked"].asBool();
  return {};
}

} // namespace

std::string formatKeyRing(const KeyRing &ring) {
  Json::Value root;
  root["revision"] = Json::Int64(ring.Rev.Value);
  root["keys"] = Json::arrayValue;
  for (const KeyEntry &entry : ring.Entries) {
    Json::Value item;
    item["digest"] = entry.Digest;
    item["team"] = entry.Team.Value;
    item["label"] = entry.Label;
    item["revoked"] = entry.Revoked;
    root["keys"].append(std::move(item));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

Result<KeyRing> parseKeyRing(const std::string &text) {
  Result<Json::Value> parsed = readJsonObject(text);
  if (!parsed)
    return failure(ErrorCode::Malformed, "keys: " + parsed.error().Message);
  const Json::Value &root = parsed.value();
  if (!root["revision"].isInt64() || root["revision"].asInt64() < 1)
    return failure(ErrorCode::Malformed,
                   "keys: revision must be a positive integer");
  if (!root["keys"].isArray())
    return failure(ErrorCode::Malformed, "keys: keys must be an array");
  KeyRing ring;
  ring.Rev = Revision(root["revision"].asInt64());
  std::unordered_set<std::string> seen;
  for (Json::ArrayIndex i = 0; i < root["keys"].size(); ++i) {
    KeyEntry entry;
    std::string what = parseEntry(root["keys"][i], entry);
    if (what.empty() && !seen.insert(entry.Digest).second)
      what = "duplicate digest";
    if (!what.empty())
      return failure(ErrorCode::Malformed,
                     "keys: keys[" + std::to_string(i) + "]: " + what);
    ring.ByPrefix.emplace(entry.Digest.substr(0, PrefixDigits), i);
    ring.Entries.push_back(std::move(entry));
  }
  return ring;
}

std::optional<TeamId> teamOfKey(const KeyRing &ring,
                                const std::string &digest) {
  if (digest.size() != DigestDigits)
    return std::nullopt;
  const KeyEntry *found = nullptr;
  auto range = ring.ByPrefix.equal_range(digest.substr(0, PrefixDigits));
  for (auto it = range.first; it != range.second; ++it) {
    const KeyEntry &entry = ring.Entries[it->second];
    if (entry.Digest.size() != DigestDigits ||
        !equalConstantTime(entry.Digest, digest))
      continue;
    // A revocation takes precedence over any other entry of the same key.
    if (entry.Revoked)
      return std::nullopt;
    found = &entry;
  }
  if (!found)
    return std::nullopt;
  return found->Team;
}

bool keysUsable(const KeyFreshness &freshness, Duration limit) {
  if (limit <= Duration(0) || freshness.Age <= limit)
    return true;
  // If every other zone answers and no VM reaches the store, the store is down
  // for all of them, so no key can have been revoked in the meantime.
  return freshness.OtherZonesReached && !freshness.AnyStoreContact;
}

} // namespace savorylb
