#ifndef SAVORYLB_HTTP_READER_H
#define SAVORYLB_HTTP_READER_H

#include "http_message.h"

#include <cstdint>
#include <memory>
#include <string>

namespace savorylb {

enum class ReadState { NeedMore, Complete, Invalid };

/// Reason why a message is invalid.
enum class ReadError {
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /// The budget that messages share is used up.
  NoMemory,
};

/// Parses one HTTP/1.1 message from a byte stream.
class HttpReader {
public:
  enum class Kind { Request, Response };

  /// \param maxHeaderBytes limit of the start line and the header fields, and
  /// of
  ///        the trailer fields and of each chunk's line.
  /// \param maxBodyBytes limit of the body.
  /// \param budget charged with the header fields and the body, or null.
  HttpReader(Kind kind, std::int64_t maxHeaderBytes, std::int64_t maxBodyBytes,
             const std::shared_ptr<ByteBudget> &budget = nullptr);
  ~HttpReader();
  HttpReader(HttpReader &&) noexcept;
  HttpReader &operator=(HttpReader &&) noexcept;

  /// Declares that the response answers a HEAD request and has no body.
  void expectNoBody();

  /// Parses bytes and removes those of the message from the buffer.
  ReadState read(std::string &buffer);

  /// Signals the end of the stream.
  /// \returns Complete if the message's body is delimited by the end of the
  /// stream.
  ReadState readEof();

  /// \returns whether the header is complete.
  bool headComplete() const;
  /// \returns whether any byte of the message has been parsed.
  bool started() const;
  ReadError error() const;
  /// The message; complete once read() or readEof() returned Complete.
  HttpMessage &message();

private:
  struct Parser;
  template <bool IsRequest> struct TypedParser;
  std::unique_ptr<Parser> Impl;
};

} // namespace savorylb

#endif // SAVORYLB_HTTP_READER_H
