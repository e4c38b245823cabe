#ifndef SAVORYLB_LIBSAVORYEDGE_HEAD_CHECK_H
#define SAVORYLB_LIBSAVORYEDGE_HEAD_CHECK_H

#include <cstddef>

namespace savorylb {

/// Progress of a check of a response's head. Poco accepts any bytes as the name
/// of a field, skips lines without a colon, and ends the head at a line that
/// begins with a carriage return or a line feed, after which the rest of the
/// head is read as the body.
struct HeadCheck {
  enum class Part {
    StatusLine,
    LineStart,
    Name,
    Value,
    /// Behind the carriage return of a status or field line.
    LineEnd,
    /// Behind the carriage return of the blank line.
    HeadEnd,
    Done,
  };
  Part At = Part::StatusLine;
  /// First digit of the status; 0 before it is read.
  char StatusClass = 0;
  bool AfterSpace = false;
  bool HasField = false;
};

/// Checks bytes of a response as they arrive. Heads of interim responses are
/// followed by another head; bytes behind the final head are not checked.
/// \param check progress, advanced by the bytes.
/// \param data the bytes.
/// \param n their number.
/// \returns false if a line is not a valid field or does not end with CR LF.
bool checkHead(HeadCheck &check, const char *data, std::size_t n);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYEDGE_HEAD_CHECK_H
