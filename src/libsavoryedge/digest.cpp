#include "savorylb/digest.h"

#include <Poco/SHA2Engine.h>
#include <sys/random.h>
#include <vector>

namespace savorylb {

std::string sha256Hex(const std::string &text) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(text);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string randomHex(int bytes) {
  std::vector<unsigned char> buf(static_cast<std::size_t>(bytes));
  std::size_t filled = 0;
  while (filled < buf.size()) {
    ssize_t n = getrandom(buf.data() + filled, buf.size() - filled, 0);
    if (n > 0)
      filled += static_cast<std::size_t>(n);
  }
  return Poco::DigestEngine::digestToHex(buf);
}

} // namespace savorylb
