#ifndef SAVORYLB_LIBSAVORYEDGE_URL_H
#define SAVORYLB_LIBSAVORYEDGE_URL_H

#include <cstdint>
#include <string>

namespace savorylb {

/// Parts of an HTTP URL or of a `host:port` address.
struct UrlParts {
  std::string Host;
  std::uint16_t Port = 80;
  std::string Path = "/";
};

/// \param text `host:port` or `http://host:port/path`.
/// \returns the parts; port 80 if none is given.
UrlParts splitUrl(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_URL_H
