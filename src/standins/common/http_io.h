#ifndef SAVORYLB_STANDINS_HTTP_IO_H
#define SAVORYLB_STANDINS_HTTP_IO_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorylb::standin {

using Query = std::map<std::string, std::string>;

/// \returns the decoded path of a request.
std::string pathOf(const Poco::Net::HTTPServerRequest &req);

/// \returns the decoded query parameters; one without a value maps to "".
Query queryOf(const Poco::Net::HTTPServerRequest &req);

/// \returns the parameter as a number, or the fallback when it is absent.
/// Throws Poco::SyntaxException when it is not a number.
std::int64_t numberOf(const Query &q, const std::string &name,
                      std::int64_t fallback);

/// \param limit maximum size in bytes.
/// \returns the request body, or nothing when it exceeds the limit.
std::optional<std::string> readBody(Poco::Net::HTTPServerRequest &req,
                                    std::size_t limit);

/// Sends a complete response.
/// \param type media type of the body.
void sendText(Poco::Net::HTTPServerResponse &resp, int status,
              const std::string &type, const std::string &body);

/// Sends a JSON document without white space.
void sendJson(Poco::Net::HTTPServerResponse &resp, int status,
              const Json::Value &doc);

/// \returns the document as JSON text without white space.
std::string compactJson(const Json::Value &doc);

/// Parses JSON text. Throws Poco::SyntaxException when it is malformed.
Json::Value parseJson(const std::string &text);

/// Throws a Poco exception when the file cannot be read or parsed.
Json::Value readJsonFile(const std::string &path);

/// Closes the connection of a request without a complete response.
void dropConnection(Poco::Net::HTTPServerRequest &req,
                    Poco::Net::HTTPServerResponse &resp);

/// \returns the file descriptor of the request's connection.
int descriptorOf(Poco::Net::HTTPServerRequest &req);

/// Waits until the peer closes the connection.
/// \param fd file descriptor of the connection.
/// \param micros maximum wait in microseconds; 0 checks without waiting.
/// \returns whether the peer has closed the connection.
bool waitForClose(int fd, std::int64_t micros);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_HTTP_IO_H
