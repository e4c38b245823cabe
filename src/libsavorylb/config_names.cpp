#include "config_names.h"

namespace savorylb {

namespace {

void collectNamesFrom(const Json::Value &list, std::set<std::string> &out) {
  if (!list.isArray())
    return;
  for (const Json::Value &it : list)
    if (it.isObject() && it["name"].isString())
      out.insert(it["name"].asString());
}

std::string unknownName(const std::string &name, const char *kind,
                        const std::set<std::string> &known) {
  return std::string("unknown ") + kind + " \"" + name + "\"" +
         suggestName(name, {known.begin(), known.end()});
}

} // namespace

ConfigNames collectNames(const Json::Value &root) {
  ConfigNames out;
  if (!root.isObject())
    return out;
  collectNamesFrom(root["regions"], out.Regions);
  collectNamesFrom(root["sites"], out.Sites);
  collectNamesFrom(root["services"], out.Services);
  collectNamesFrom(root["teams"], out.Teams);
  if (!root["regions"].isArray())
    return out;
  for (const Json::Value &region : root["regions"])
    if (region.isObject() && region["zones"].isArray())
      for (const Json::Value &zone : region["zones"])
        if (zone.isString())
          out.Zones.insert(zone.asString());
  return out;
}

void checkKnown(const JsonSource &source, const Json::Value &at,
                const std::string &path, const std::string &name,
                const char *kind, const std::set<std::string> &known) {
  if (!name.empty() && known.count(name) == 0)
    addFinding(source, at, path, unknownName(name, kind, known));
}

void checkKnownField(JsonFields &fields, const std::string &field,
                     const std::string &name, const char *kind,
                     const std::set<std::string> &known) {
  if (!name.empty() && known.count(name) == 0)
    fields.report(field, unknownName(name, kind, known));
}

void checkUnique(JsonFields &fields, const std::string &field,
                 const std::string &name, std::set<std::string> &seen) {
  if (!name.empty() && !seen.insert(name).second)
    fields.report(field, "\"" + name + "\" is repeated");
}

} // namespace savorylb
