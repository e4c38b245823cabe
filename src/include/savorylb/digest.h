#ifndef SAVORYLB_DIGEST_H
#define SAVORYLB_DIGEST_H

#include <string>

namespace savorylb {

/// \returns the lower-case hex SHA-256 of a text.
std::string sha256Hex(const std::string &text);

/// \returns random bits as lower-case hex from the system's strong source.
/// \param bytes how many bytes.
std::string randomHex(int bytes);

} // namespace savorylb

#endif // SAVORYLB_DIGEST_H
