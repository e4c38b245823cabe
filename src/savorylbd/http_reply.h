#ifndef SAVORYLB_SAVORYLBD_HTTP_REPLY_H
#define SAVORYLB_SAVORYLBD_HTTP_REPLY_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <json/json.h>
#include <string>

namespace savorylb {

/// Sends a response with its Content-Length.
void sendText(Poco::Net::HTTPServerResponse &response, int status,
              const std::string &contentType, const std::string &body);

/// Sends a JSON value on one line.
void sendJson(Poco::Net::HTTPServerResponse &response, int status,
              const Json::Value &value);

/// Reads an unread request body, so that the caller receives the response
/// before the connection is reset. A chunked body or one above the limit is not
/// read; the connection is closed after the response instead.
void drainBody(Poco::Net::HTTPServerRequest &request,
               Poco::Net::HTTPServerResponse &response);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HTTP_REPLY_H
