#include "config_template.h"

namespace savorylb {

namespace {

Json::Value renderText(const JsonSource &source, const Json::Value &body,
                       const Json::Value &parameters, const std::string &path,
                       std::set<std::string> &used) {
  std::string text = body.asString();
  std::size_t open = text.find("${");
  if (open == std::string::npos)
    return body;
  if (open != 0 || text.find('}') != text.size() - 1) {
    addFinding(source, body, path,
               "a parameter reference must be the whole value, " +
                   describeFound(body));
    return body;
  }
  std::string name = text.substr(2, text.size() - 3);
  used.insert(name);
  const Json::Value *value =
      parameters.find(name.data(), name.data() + name.size());
  if (value)
    return *value;
  std::vector<std::string> given = parameters.getMemberNames();
  addFinding(source, parameters, path,
             "parameter \"" + name + "\" is missing" +
                 suggestName(name, given));
  return body;
}

} // namespace

Json::Value renderTemplate(const JsonSource &source, const Json::Value &body,
                           const Json::Value &parameters,
                           const std::string &path,
                           std::set<std::string> &used) {
  if (body.isString())
    return renderText(source, body, parameters, path, used);
  Json::Value out = body;
  if (body.isArray())
    for (Json::ArrayIndex i = 0; i < body.size(); ++i)
      out[i] = renderTemplate(source, body[i], parameters, path, used);
  if (body.isObject())
    for (const std::string &it : body.getMemberNames())
      out[it] = renderTemplate(source, body[it], parameters, path, used);
  return out;
}

} // namespace savorylb
