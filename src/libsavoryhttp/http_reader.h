#ifndef SAVORYLB_HTTP_READER_H
#define SAVORYLB_HTTP_READER_H

#include "http_message.h"

#include <cstdint>
#include <memory>
#include <string>

namespace savorylb {

enum class ReadState { NeedMore, Complete, Invalid };

/// Why a message is invalid.
enum class ReadFault { None, Malformed, HeaderTooLarge, BodyTooLarge };

/// Reads one HTTP/1.1 message from a byte stream.
class HttpReader {
public:
  enum class Kind { Request, Response };

  /// \param kind what to read.
  /// \param maxHeaderBytes bound of the head.
  /// \param maxBodyBytes bound of the body.
  HttpReader(Kind kind, std::int64_t maxHeaderBytes, std::int64_t maxBodyBytes);
  ~HttpReader();
  HttpReader(HttpReader &&) noexcept;
  HttpReader &operator=(HttpReader &&) noexcept;

  /// The response answers a HEAD request and has no body.
  void expectNoBody();

  /// Reads bytes and takes those of the message away from the buffer.
  ReadState read(std::string &buffer);

  /// Tells that the stream has ended.
  /// \returns Complete when the message's length was the stream's.
  ReadState readEnd();

  /// \returns whether the head is complete.
  bool headComplete() const;
  /// \returns whether any byte of the message was read.
  bool started() const;
  ReadFault fault() const;
  /// The message; whole after Complete.
  HttpMessage &message();

private:
  struct Parser;
  template <bool IsRequest> struct TypedParser;
  std::unique_ptr<Parser> Impl;
};

} // namespace savorylb

#endif // SAVORYLB_HTTP_READER_H
