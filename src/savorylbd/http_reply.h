#ifndef SAVORYLB_SAVORYLBD_HTTP_REPLY_H
#define SAVORYLB_SAVORYLBD_HTTP_REPLY_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <json/json.h>
#include <string>

namespace savorylb {

/// Sends a text with its length.
void sendText(Poco::Net::HTTPServerResponse &response, int status,
              const std::string &contentType, const std::string &body);

/// Sends a JSON value.
void sendJson(Poco::Net::HTTPServerResponse &response, int status,
              const Json::Value &value);

/// Reads up to a limit of an unread body, so that the caller gets the reply
/// before the connection is reset; closes the connection otherwise.
void drainBody(Poco::Net::HTTPServerRequest &request,
               Poco::Net::HTTPServerResponse &response);

} // namespace savorylb

#endif // SAVORYLB_SAVORYLBD_HTTP_REPLY_H
