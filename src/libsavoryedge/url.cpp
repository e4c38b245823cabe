#include "url.h"

#include <Poco/URI.h>

namespace savorylb {

UrlParts splitUrl(const std::string &text) {
  bool hasScheme = text.find("://") != std::string::npos;
  Poco::URI uri(hasScheme ? text : "http://" + text);
  UrlParts parts;
  parts.Host = uri.getHost();
  parts.Port = uri.getPort();
  parts.Path = uri.getPathAndQuery();
  return parts;
}

} // namespace savorylb
