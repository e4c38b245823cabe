#ifndef SAVORYLB_LIB_ENDPOINT_H
#define SAVORYLB_LIB_ENDPOINT_H

#include <string>

namespace savorylb {

/// \returns true for `host:port` with a port of 1 to 65535.
bool isEndpoint(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIB_ENDPOINT_H
