#include "http_io.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <cerrno>
#include <fstream>
#include <memory>
#include <poll.h>
#include <sstream>

using namespace Poco::Net;

namespace savorylb::standin {

std::string pathOf(const HTTPServerRequest &req) {
  return Poco::URI(req.getURI()).getPath();
}

Query queryOf(const HTTPServerRequest &req) {
  Query q;
  for (auto &it : Poco::URI(req.getURI()).getQueryParameters())
    q[it.first] = it.second;
  return q;
}

std::int64_t numberOf(const Query &q, const std::string &name,
                      std::int64_t fallback) {
  auto it = q.find(name);
  return it == q.end() ? fallback : Poco::NumberParser::parse64(it->second);
}

std::optional<std::string> readBody(HTTPServerRequest &req, std::size_t limit) {
  std::string body;
  // Without a body length Poco would read until the connection closes.
  if (!req.hasContentLength() && !req.getChunkedTransferEncoding())
    return body;
  char buf[8192];
  auto &in = req.stream();
  while (in.read(buf, sizeof buf), in.gcount() > 0) {
    if (body.size() + static_cast<std::size_t>(in.gcount()) > limit)
      return std::nullopt;
    body.append(buf, static_cast<std::size_t>(in.gcount()));
  }
  return body;
}

void sendText(HTTPServerResponse &resp, int status, const std::string &type,
              const std::string &body) {
  resp.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
  resp.setContentType(type);
  resp.sendBuffer(body.data(), body.size());
}

std::string compactJson(const Json::Value &doc) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, doc);
}

void sendJson(HTTPServerResponse &resp, int status, const Json::Value &doc) {
  sendText(resp, status, "application/json", compactJson(doc));
}

Json::Value parseJson(const std::string &text) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value doc;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &doc, &errors))
    throw Poco::SyntaxException("malformed JSON", errors);
  return doc;
}

Json::Value readJsonFile(const std::string &path) {
  std::ifstream in(path);
  if (!in)
    throw Poco::OpenFileException(path);
  std::ostringstream text;
  text << in.rdbuf();
  return parseJson(text.str());
}

void dropConnection(HTTPServerRequest &req, HTTPServerResponse &resp) {
  resp.setKeepAlive(false);
  try {
    static_cast<HTTPServerRequestImpl &>(req).socket().shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
  }
}

int descriptorOf(HTTPServerRequest &req) {
  return static_cast<HTTPServerRequestImpl &>(req).socket().impl()->sockfd();
}

bool waitForClose(int fd, std::int64_t micros) {
  if (micros < 0)
    micros = 0;
  pollfd pfd{fd, POLLRDHUP, 0};
  timespec limit{static_cast<time_t>(micros / 1'000'000),
                 static_cast<long>(micros % 1'000'000 * 1000)};
  return ppoll(&pfd, 1, &limit, nullptr) > 0;
}

} // namespace savorylb::standin
