#ifndef SAVORYLB_LIB_CONFIG_NAMES_H
#define SAVORYLB_LIB_CONFIG_NAMES_H

#include "json_fields.h"

#include <set>
#include <string>

namespace savorylb {

/// Names that a configuration defines, collected before its parts are read, so
/// that the parts may refer to each other in any order.
struct ConfigNames {
  std::set<std::string> Regions;
  std::set<std::string> Zones;
  std::set<std::string> Sites;
  std::set<std::string> Services;
  std::set<std::string> Teams;
};

/// Collects the names that a configuration defines.
/// \param root the whole document. Parts of a wrong type are skipped here and
/// reported when they are read.
ConfigNames collectNames(const Json::Value &root);

/// Records a finding if a name is not among the known ones.
void checkKnown(const JsonSource &source, const Json::Value &at,
                const std::string &path, const std::string &name,
                const char *kind, const std::set<std::string> &known);

/// Records a finding at a field if its name is not among the known ones.
void checkKnownField(JsonFields &fields, const std::string &field,
                     const std::string &name, const char *kind,
                     const std::set<std::string> &known);

/// Records a finding if a name was seen before, and adds it to seen.
void checkUnique(JsonFields &fields, const std::string &field,
                 const std::string &name, std::set<std::string> &seen);

} // namespace savorylb

#endif // SAVORYLB_LIB_CONFIG_NAMES_H
