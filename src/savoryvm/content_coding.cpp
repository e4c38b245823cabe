#include "content_coding.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace savorylb {
namespace {

const char AcceptField[] = "Accept-Encoding";
const char EncodingField[] = "Content-Encoding";
const char Deflate[] = "deflate";
/// Smaller bodies fit into one packet anyway.
constexpr std::size_t MinBytes = 1200;
/// The fastest level of zlib: small VMs have a tenth of a core.
constexpr int Level = 1;

} // namespace

std::string deflateText(const std::string &text) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflater(
      out, Poco::DeflatingStreamBuf::STREAM_ZLIB, Level);
  deflater.write(text.data(), static_cast<std::streamsize>(text.size()));
  deflater.close();
  return out.str();
}

Result<std::string> inflateText(const std::string &bytes,
                                std::size_t maxBytes) {
  std::istringstream in(bytes);
  Poco::InflatingInputStream inflater(in,
                                      Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string text;
  std::array<char, 16384> buf{};
  while (inflater.good()) {
    inflater.read(buf.data(), buf.size());
    text.append(buf.data(), static_cast<std::size_t>(inflater.gcount()));
    if (text.size() > maxBytes)
      return failure(ErrorCode::Malformed, "the inflated text is too large");
  }
  if (inflater.bad())
    return failure(ErrorCode::Malformed, "the text cannot be inflated");
  return text;
}

void acceptDeflate(HttpMessage &request) {
  request.Fields.emplace_back(AcceptField, Deflate);
}

bool acceptsDeflate(const HttpMessage &request) {
  const std::string *accepted = findField(request, AcceptField);
  return accepted && *accepted == Deflate;
}

void deflateBody(HttpMessage &response) {
  if (response.Body.size() < MinBytes)
    return;
  response.Body = deflateText(response.Body);
  response.Fields.emplace_back(EncodingField, Deflate);
}

Result<std::string> readBody(const HttpMessage &response,
                             std::size_t maxBytes) {
  const std::string *encoding = findField(response, EncodingField);
  if (!encoding)
    return response.Body;
  if (*encoding != Deflate)
    return failure(ErrorCode::Malformed, "unknown content encoding");
  return inflateText(response.Body, maxBytes);
}

} // namespace savorylb
