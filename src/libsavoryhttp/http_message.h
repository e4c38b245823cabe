#ifndef SAVORYLB_HTTP_MESSAGE_H
#define SAVORYLB_HTTP_MESSAGE_H

#include <string>
#include <utility>
#include <vector>

namespace savorylb {

using HttpField = std::pair<std::string, std::string>;

/// A whole HTTP/1.1 request or response.
struct HttpMessage {
  /// Of requests.
  std::string Method;
  std::string Path;
  /// Of responses.
  int Status = 0;
  std::string Reason;
  std::vector<HttpField> Fields;
  std::string Body;
  /// The connection can be used after the message.
  bool KeepAlive = true;
};

/// \returns the first field of a name, compared without case, or null.
const std::string *findField(const HttpMessage &message,
                             const std::string &name);

/// Removes all fields of a name.
void removeField(HttpMessage &message, const std::string &name);

/// Removes the fields that concern one connection only, and those that the
/// message's Connection field names.
void removeConnectionFields(HttpMessage &message);

/// \returns whether two field names are the same without case.
bool sameFieldName(const std::string &a, const std::string &b);

/// \returns the request line, the fields and the length of the body.
std::string requestHead(const HttpMessage &message);

/// \param message the response.
/// \param close the connection ends after the response.
/// \param toHead the request's method was HEAD.
/// \returns the status line, the fields and the length of the body.
std::string responseHead(const HttpMessage &message, bool close, bool toHead);

/// \returns a response with a JSON body.
HttpMessage jsonResponse(int status, const std::string &body);

/// \returns the usual reason phrase of a status.
const char *statusReason(int status);

} // namespace savorylb

#endif // SAVORYLB_HTTP_MESSAGE_H
