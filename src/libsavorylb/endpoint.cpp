#include "endpoint.h"

namespace savorylb {

bool isEndpoint(const std::string &text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 ||
      text.find_first_of("/ ") != std::string::npos)
    return false;
  std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos)
    return false;
  int n = std::stoi(port);
  return n >= 1 && n <= 65535;
}

} // namespace savorylb
