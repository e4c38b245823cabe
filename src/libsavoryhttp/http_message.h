#ifndef SAVORYLB_HTTP_MESSAGE_H
#define SAVORYLB_HTTP_MESSAGE_H

#include "byte_budget.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace savorylb {

using HttpField = std::pair<std::string, std::string>;

/// A complete HTTP/1.1 request or response.
struct HttpMessage {
  /// Method and Path are set in requests only.
  std::string Method;
  std::string Path;
  /// Status and Reason are set in responses only.
  int Status = 0;
  std::string Reason;
  std::vector<HttpField> Fields;
  std::string Body;
  /// The connection can be reused after this message.
  bool KeepAlive = true;
  /// Charges the body to a budget; null if there is none.
  std::shared_ptr<ByteReservation> Memory;
};

/// Finds a header field; names are compared case-insensitively.
/// \returns the value of the first field of that name, or null.
const std::string *findField(const HttpMessage &message,
                             const std::string &name);

/// \returns the host of a request in lower case, without a port; empty if it
///          has none.
std::string requestHost(const HttpMessage &request);

/// Removes all header fields of a name.
void removeField(HttpMessage &message, const std::string &name);

/// Removes the hop-by-hop header fields, including those that the message's
/// Connection field lists.
void removeHopByHopFields(HttpMessage &message);

/// Compares two field names case-insensitively.
bool sameFieldName(const std::string &a, const std::string &b);

/// Serializes the request line and the header fields, with the length of the
/// message's body as Content-Length.
std::string requestHead(const HttpMessage &message);

/// The same for a body that is kept elsewhere.
std::string requestHead(const HttpMessage &message, std::size_t bodyBytes);

/// Serializes the status line and the header fields, with Content-Length.
/// \param close whether the connection closes after the response.
/// \param headRequest whether the request's method was HEAD.
std::string responseHead(const HttpMessage &message, bool close,
                         bool headRequest);

/// \returns a response with a JSON body.
HttpMessage jsonResponse(int status, const std::string &body);

/// \returns the standard reason phrase of a status.
const char *reasonPhrase(int status);

} // namespace savorylb

#endif // SAVORYLB_HTTP_MESSAGE_H
