#include "content_coding.h"

#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr std::size_t MaxBytes = 100000;

HttpMessage response(const std::string &body) {
  return jsonResponse(200, body);
}

/// \returns a body that compresses well.
std::string entries(int n) {
  std::string body;
  for (int i = 0; i < n; ++i)
    body += "{\"key\":\"servers/i-" + std::to_string(i) + "\"}";
  return body;
}

} // namespace

TEST_GROUP(ContentCoding){};

// Guards against documents that arrive changed, or as large as before.
TEST(ContentCoding, CompressedBodyDiffers) {
  HttpMessage sent = response(entries(500));
  deflateBody(sent);
  CHECK_TRUE(sent.Body.size() * 3 < entries(500).size());
  auto body = readBody(sent, MaxBytes);
  CHECK_TRUE(body.has_value());
  CHECK_TRUE(body.value() == entries(500));
}

// Guards against compressing what is small already.
TEST(ContentCoding, SmallBodyIsCompressed) {
  HttpMessage sent = response("{}");
  deflateBody(sent);
  STRCMP_EQUAL("{}", sent.Body.c_str());
  STRCMP_EQUAL("{}", readBody(sent, MaxBytes).value().c_str());
}

// Guards against compressed responses to VMs of earlier builds.
TEST(ContentCoding, RequestWithoutTheFieldAcceptsDeflate) {
  HttpMessage request;
  CHECK_FALSE(acceptsDeflate(request));
  acceptDeflate(request);
  CHECK_TRUE(acceptsDeflate(request));
}

// Guards against using bytes that cannot be inflated, or too many of them.
TEST(ContentCoding, OddBodiesAreUsed) {
  HttpMessage sent = response(entries(500));
  deflateBody(sent);
  HttpMessage broken = sent;
  broken.Body[20] = static_cast<char>(broken.Body[20] ^ 0x55);
  broken.Body[0] = 'x';
  CHECK_FALSE(readBody(broken, MaxBytes).has_value());
  HttpMessage cut = sent;
  cut.Body.resize(cut.Body.size() / 2);
  CHECK_FALSE(readBody(cut, MaxBytes).has_value());
  CHECK_FALSE(readBody(sent, 1000).has_value());
  HttpMessage unknown = response(entries(500));
  unknown.Fields.emplace_back("Content-Encoding", "br");
  CHECK_FALSE(readBody(unknown, MaxBytes).has_value());
}
