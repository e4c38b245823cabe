#ifndef SAVORYLB_LIB_CONFIG_TEMPLATE_H
#define SAVORYLB_LIB_CONFIG_TEMPLATE_H

#include "json_fields.h"

#include <set>
#include <string>

namespace savorylb {

/// Replaces each `"${name}"` in a template by the parameter's value, which
/// keeps its JSON type and its place in the text.
/// \param source where findings go.
/// \param body the template or a part of it.
/// \param parameters the object of parameters.
/// \param path path of the team, used in findings.
/// \param used receives the names that were replaced.
/// \returns the body with all references replaced.
Json::Value renderTemplate(const JsonSource &source, const Json::Value &body,
                           const Json::Value &parameters,
                           const std::string &path,
                           std::set<std::string> &used);

} // namespace savorylb

#endif // SAVORYLB_LIB_CONFIG_TEMPLATE_H
