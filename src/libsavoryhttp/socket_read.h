#ifndef SAVORYLB_SOCKET_READ_H
#define SAVORYLB_SOCKET_READ_H

#include <array>
#include <boost/asio.hpp>
#include <string>

namespace savorylb {

/// Appends bytes that have arrived on a non-blocking socket to a buffer. With
/// this after a wait, idle connections need no read buffers of their own.
/// \returns the error, would_block if nothing has arrived.
inline boost::system::error_code
readAvailable(boost::asio::ip::tcp::socket &socket, std::string &buffer) {
  constexpr std::size_t MaxBytes = 16'384;
  std::array<char, MaxBytes> part;
  boost::system::error_code ec;
  std::size_t n = socket.read_some(boost::asio::buffer(part), ec);
  buffer.append(part.data(), n);
  return ec;
}

} // namespace savorylb

#endif // SAVORYLB_SOCKET_READ_H
