#include "http_message.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <ostream>
#include <strings.h>

namespace savorylb {
namespace {

void appendFields(std::string &out, const HttpMessage &message) {
  for (const HttpField &it : message.Fields) {
    out += it.first;
    out += ": ";
    out += it.second;
    out += "\r\n";
  }
}

bool statusHasBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

} // namespace

bool sameFieldName(const std::string &a, const std::string &b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

const std::string *findField(const HttpMessage &message,
                             const std::string &name) {
  for (const HttpField &it : message.Fields)
    if (sameFieldName(it.first, name))
      return &it.second;
  return nullptr;
}

std::string requestHost(const HttpMessage &request) {
  const std::string *host = findField(request, "Host");
  if (!host)
    return "";
  std::string name = host->substr(0, host->find(':'));
  for (char &c : name)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return name;
}

void removeField(HttpMessage &message, const std::string &name) {
  auto &fields = message.Fields;
  fields.erase(std::remove_if(fields.begin(), fields.end(),
                              [&](const HttpField &it) {
                                return sameFieldName(it.first, name);
                              }),
               fields.end());
}

void removeHopByHopFields(HttpMessage &message) {
  std::vector<std::string> named;
  for (const HttpField &it : message.Fields) {
    if (!sameFieldName(it.first, "Connection"))
      continue;
    std::string name;
    for (char c : it.second + ",") {
      if (c == ',') {
        if (!name.empty())
          named.push_back(name);
        name.clear();
      } else if (c != ' ' && c != '\t') {
        name += c;
      }
    }
  }
  for (const std::string &it : named)
    removeField(message, it);
  for (const char *it :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "Content-Length", "TE", "Trailer", "Upgrade", "Expect",
        "Proxy-Authenticate", "Proxy-Authorization"})
    removeField(message, it);
}

std::string requestHead(const HttpMessage &message) {
  return requestHead(message, message.Body.size());
}

std::string requestHead(const HttpMessage &message, std::size_t bodyBytes) {
  std::string out = message.Method + ' ' + message.Path + " HTTP/1.1\r\n";
  appendFields(out, message);
  if (bodyBytes > 0 || message.Method == "POST" || message.Method == "PUT" ||
      message.Method == "PATCH")
    out += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  out += "\r\n";
  return out;
}

std::string responseHead(const HttpMessage &message, bool close,
                         bool headRequest) {
  std::string out =
      "HTTP/1.1 " + std::to_string(message.Status) + ' ' +
      (message.Reason.empty() ? reasonPhrase(message.Status) : message.Reason) +
      "\r\n";
  appendFields(out, message);
  if (!headRequest && statusHasBody(message.Status))
    out += "Content-Length: " + std::to_string(message.Body.size()) + "\r\n";
  if (close)
    out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

HttpMessage jsonResponse(int status, const std::string &body) {
  HttpMessage message;
  message.Status = status;
  message.Fields.emplace_back("Content-Type", "application/json");
  message.Body = body;
  return message;
}

const char *reasonPhrase(int status) {
  return boost::beast::http::obsolete_reason(
             boost::beast::http::int_to_status(static_cast<unsigned>(status)))
      .data();
}

} // namespace savorylb
