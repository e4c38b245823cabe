#include "json_diff.h"

#include "json_text.h"

#include <map>
#include <set>
#include <utility>

namespace savorylb {

namespace {

using Elements = std::map<std::string, const Json::Value *>;

// \returns the elements by name, or nothing unless each has a unique name.
std::optional<Elements> elementsByName(const Json::Value &list) {
  Elements out;
  for (const Json::Value &it : list) {
    if (!it.isObject())
      return std::nullopt;
    const Json::Value &name = it.isMember("name") ? it["name"] : it["cidr"];
    if (!name.isString() || !out.emplace(name.asString(), &it).second)
      return std::nullopt;
  }
  return out;
}

Elements membersOf(const Json::Value &object) {
  Elements out;
  for (auto it = object.begin(); it != object.end(); ++it)
    out.emplace(it.name(), &*it);
  return out;
}

void diffValue(const std::string &path, const Json::Value &before,
               const Json::Value &after, std::vector<JsonChange> &out);

void diffElements(const std::string &path, const char *open, const char *close,
                  const Elements &before, const Elements &after,
                  std::vector<JsonChange> &out) {
  auto pathOf = [&](const std::string &name) {
    return path.empty() ? name : path + open + name + close;
  };
  for (const auto &[name, value] : before)
    if (after.count(name) == 0)
      out.push_back({pathOf(name), *value, std::nullopt});
  for (const auto &[name, value] : after) {
    auto old = before.find(name);
    if (old == before.end())
      out.push_back({pathOf(name), std::nullopt, *value});
    else
      diffValue(pathOf(name), *old->second, *value, out);
  }
}

void diffValue(const std::string &path, const Json::Value &before,
               const Json::Value &after, std::vector<JsonChange> &out) {
  if (before == after)
    return;
  if (before.isObject() && after.isObject()) {
    diffElements(path, ".", "", membersOf(before), membersOf(after), out);
    return;
  }
  if (before.isArray() && after.isArray()) {
    std::optional<Elements> old = elementsByName(before);
    std::optional<Elements> now = elementsByName(after);
    if (old && now) {
      diffElements(path, "[", "]", *old, *now, out);
      return;
    }
  }
  out.push_back({path, before, after});
}

} // namespace

std::string formatChange(const JsonChange &change) {
  if (!change.Before)
    return "+ " + change.Path + ": " + writeCompact(*change.After);
  if (!change.After)
    return "- " + change.Path + ": " + writeCompact(*change.Before);
  return "~ " + change.Path + ": " + writeCompact(*change.Before) + " -> " +
         writeCompact(*change.After);
}

Json::Value changeToJson(const JsonChange &change) {
  Json::Value out;
  out["path"] = change.Path;
  if (change.Before)
    out["before"] = *change.Before;
  if (change.After)
    out["after"] = *change.After;
  return out;
}

std::vector<JsonChange> diffJson(const Json::Value &before,
                                 const Json::Value &after) {
  std::vector<JsonChange> out;
  diffValue("", before, after, out);
  return out;
}

} // namespace savorylb
