#include "http_reply.h"

#include <algorithm>
#include <array>

namespace savorylb {
namespace {

/// Largest unread request body, in bytes, that is read before a refusal; for a
/// larger one the connection is closed instead.
constexpr std::int64_t MaxDrainedBody = 1024LL * 1024;

} // namespace

void sendText(Poco::Net::HTTPServerResponse &response, int status,
              const std::string &contentType, const std::string &body) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(contentType);
  response.sendBuffer(body.data(), body.size());
}

void sendJson(Poco::Net::HTTPServerResponse &response, int status,
              const Json::Value &value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  sendText(response, status, "application/json",
           Json::writeString(builder, value) + "\n");
}

void drainBody(Poco::Net::HTTPServerRequest &request,
               Poco::Net::HTTPServerResponse &response) {
  std::int64_t length =
      request.hasContentLength() ? request.getContentLength64() : 0;
  if (request.getChunkedTransferEncoding() || length > MaxDrainedBody) {
    response.setKeepAlive(false);
    return;
  }
  // Without a length, POCO's stream would read until the connection is closed.
  if (length == 0)
    return;
  std::array<char, 8192> buf{};
  std::istream &in = request.stream();
  while (in.good())
    in.read(buf.data(), buf.size());
}

} // namespace savorylb
