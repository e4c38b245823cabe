#ifndef SAVORYLB_DIGEST_H
#define SAVORYLB_DIGEST_H

#include <string>

namespace savorylb {

/// \returns the SHA-256 digest of the text in lower-case hexadecimal.
std::string sha256Hex(const std::string &text);

/// Draws from the system's cryptographically secure random generator.
/// \param bytes number of random bytes.
/// \returns the bytes in lower-case hexadecimal.
std::string randomHex(int bytes);

} // namespace savorylb

#endif // SAVORYLB_DIGEST_H
