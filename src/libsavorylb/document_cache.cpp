#include "savorylb/document_cache.h"

#include <json/json.h>
#include <memory>

namespace savorylb {

Adoption decideAdoption(const CachedDocument *own, Revision offered,
                        const std::string &content, bool fromStore) {
  // Revision zero means that the document has no valid revision.
  if (!own)
    return offered.Value > 0 ? Adoption::Adopt : Adoption::Ignore;
  if (offered > own->Rev)
    return Adoption::Adopt;
  if (offered < own->Rev)
    return fromStore ? Adoption::Repair : Adoption::Ignore;
  return content == own->Content ? Adoption::Same : Adoption::Diverged;
}

Revision revisionOf(const std::string &content) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(content.data(), content.data() + content.size(), &root,
                     &errors) ||
      !root.isObject())
    return Revision(0);
  const Json::Value &rev = root["revision"];
  if (!rev.isInt64() || rev.asInt64() < 0)
    return Revision(0);
  return Revision(rev.asInt64());
}

} // namespace savorylb
