#include "head_check.h"

#include <string_view>

namespace savorylb {
namespace {

using Part = HeadCheck::Part;

bool isTokenByte(char c) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') || Symbols.find(c) != std::string_view::npos;
}

bool isControlByte(char c) {
  auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool advanceStatusLine(HeadCheck &check, char c) {
  if (c == '\r') {
    check.At = Part::LineEnd;
    return true;
  }
  if (check.AfterSpace && check.StatusClass == 0)
    check.StatusClass = c;
  check.AfterSpace = c == ' ';
  return !isControlByte(c);
}

bool advanceLineStart(HeadCheck &check, char c) {
  if (c == '\r') {
    check.At = Part::HeadEnd;
    return true;
  }
  // A line that begins with a space continues the value of a field.
  if (c == ' ' || c == '\t') {
    check.At = Part::Value;
    return check.HasField;
  }
  check.At = Part::Name;
  check.HasField = true;
  return isTokenByte(c);
}

bool advanceName(HeadCheck &check, char c) {
  if (c == ':')
    check.At = Part::Value;
  return c == ':' || isTokenByte(c);
}

bool advanceValue(HeadCheck &check, char c) {
  if (c == '\r')
    check.At = Part::LineEnd;
  return c == '\r' || !isControlByte(c);
}

bool advanceHeadEnd(HeadCheck &check, char c) {
  bool interim = check.StatusClass == '1';
  check = HeadCheck();
  if (!interim)
    check.At = Part::Done;
  return c == '\n';
}

bool advance(HeadCheck &check, char c) {
  switch (check.At) {
  case Part::StatusLine:
    return advanceStatusLine(check, c);
  case Part::LineStart:
    return advanceLineStart(check, c);
  case Part::Name:
    return advanceName(check, c);
  case Part::Value:
    return advanceValue(check, c);
  case Part::LineEnd:
    check.At = Part::LineStart;
    return c == '\n';
  case Part::HeadEnd:
    return advanceHeadEnd(check, c);
  case Part::Done:
    break;
  }
  return true;
}

} // namespace

bool checkHead(HeadCheck &check, const char *data, std::size_t n) {
  for (std::size_t i = 0; i < n && check.At != Part::Done; ++i)
    if (!advance(check, data[i]))
      return false;
  return true;
}

} // namespace savorylb
