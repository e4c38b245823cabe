#ifndef SAVORYLB_LIB_CONFIG_TEMPLATE_H
#define SAVORYLB_LIB_CONFIG_TEMPLATE_H

#include "json_fields.h"

#include <set>
#include <string>

namespace savorylb {

/// Replaces each `"${name}"` in a template by the value of the parameter, which
/// keeps its JSON type and its position in the text.
/// \param source receives the findings.
/// \param body the template or a part of it.
/// \param path path of the parameters, used in findings.
/// \param used receives the names of the parameters that were referenced.
Json::Value renderTemplate(const JsonSource &source, const Json::Value &body,
                           const Json::Value &parameters,
                           const std::string &path,
                           std::set<std::string> &used);

} // namespace savorylb

#endif // SAVORYLB_LIB_CONFIG_TEMPLATE_H
