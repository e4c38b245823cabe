#ifndef SAVORYLB_LIBSAVORYEDGE_URL_H
#define SAVORYLB_LIBSAVORYEDGE_URL_H

#include <cstdint>
#include <string>

namespace savorylb {

/// Host and port of a `host:port` text or an HTTP URL.
struct HostPort {
  std::string Host;
  std::uint16_t Port = 80;
  std::string Path = "/";
};

/// \param text `host:port` or `http://host:port/path`.
/// \returns its parts; port 80 when none is given.
HostPort splitUrl(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_URL_H
