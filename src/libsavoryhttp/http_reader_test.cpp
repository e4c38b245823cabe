#include "http_reader.h"

#include <vector>

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

namespace {

constexpr std::int64_t MaxHeaderBytes = 4096;
constexpr std::int64_t MaxBodyBytes = 1 << 20;

HttpReader makeReader(HttpReader::Kind kind) {
  return HttpReader(kind, MaxHeaderBytes, MaxBodyBytes);
}

ReadState readRequest(std::string text) {
  HttpReader it = makeReader(HttpReader::Kind::Request);
  return it.read(text);
}

} // namespace

TEST_GROUP(HttpReader){};

// Guards against request smuggling: a body whose length can be read in two
// ways can hide a second request.
TEST(HttpReader, AmbiguousLengthsAreInvalid) {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const char *it :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "Content-Length: -5\r\n\r\n", "Content-Length: 5, 6\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n"})
    CHECK_TRUE(readRequest(start + it) == ReadState::Invalid);
}

// Guards against request smuggling: without `chunked` at the end, the length of
// the body is not known, and its bytes would be read as further requests.
TEST(HttpReader, UnknownTransferEncodingHidesRequest) {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:";
  const std::string body = "\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char *it : {"", " gzip", " identity", " xchunked",
                         " chunked, identity", " chunked, gzip"}) {
    std::string text = start;
    text.append(it).append(body);
    HttpReader reader = makeReader(HttpReader::Kind::Request);
    CHECK_TRUE_TEXT(reader.read(text) == ReadState::Invalid, it);
    CHECK_TRUE_TEXT(reader.error() == ReadError::Malformed, it);
  }
  CHECK_TRUE(readRequest(start + " gzip, chunked\r\n\r\n0\r\n\r\n") ==
             ReadState::Complete);
  // The body of a response may end with its connection.
  std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab";
  HttpReader reader = makeReader(HttpReader::Kind::Response);
  CHECK_TRUE(reader.read(response) == ReadState::NeedMore);
  CHECK_TRUE(reader.readEof() == ReadState::Complete);
}

// Guards against the parser consuming bytes of the next pipelined request.
TEST(HttpReader, LeavesTheNextRequestInTheBuffer) {
  std::string text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n";
  HttpReader it = makeReader(HttpReader::Kind::Request);
  CHECK_TRUE(it.read(text) == ReadState::Complete);
  STRCMP_EQUAL("/a", it.message().Path.c_str());
  STRCMP_EQUAL("GET /b HTTP/1.1\r\n", text.c_str());
}

// Guards against a parse result that depends on how the bytes are split.
TEST(HttpReader, ReadsChunksByteByByte) {
  HttpReader it = makeReader(HttpReader::Kind::Request);
  std::string text = "POST /a HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "5\r\nhello\r\n6;x=1\r\n world\r\n0\r\n\r\n";
  std::string buffer;
  ReadState state = ReadState::NeedMore;
  for (char c : text) {
    CHECK_TRUE(state == ReadState::NeedMore);
    buffer += c;
    state = it.read(buffer);
  }
  CHECK_TRUE(state == ReadState::Complete);
  STRCMP_EQUAL("hello world", it.message().Body.c_str());
}

// Guards against a truncated response that is reported as complete.
TEST(HttpReader, CutResponseIsNotComplete) {
  for (const char *it :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le"}) {
    HttpReader truncated = makeReader(HttpReader::Kind::Response);
    std::string text = it;
    CHECK_TRUE(truncated.read(text) == ReadState::NeedMore);
    CHECK_TRUE(truncated.readEof() == ReadState::Invalid);
  }
}

// Guards against the loss of responses whose body ends with the connection.
TEST(HttpReader, ResponseMayEndWithItsConnection) {
  HttpReader it = makeReader(HttpReader::Kind::Response);
  std::string text = "HTTP/1.1 200 OK\r\n\r\nhello";
  CHECK_TRUE(it.read(text) == ReadState::NeedMore);
  CHECK_TRUE(it.readEof() == ReadState::Complete);
  STRCMP_EQUAL("hello", it.message().Body.c_str());
  CHECK_FALSE(it.message().KeepAlive);
}

// Guards against headers and bodies of unlimited size.
TEST(HttpReader, LimitsHeadAndBody) {
  HttpReader head = makeReader(HttpReader::Kind::Request);
  std::string text = "GET /a HTTP/1.1\r\nX: " + std::string(8192, 'x');
  CHECK_TRUE(head.read(text) == ReadState::Invalid);
  CHECK_TRUE(head.error() == ReadError::HeaderTooLarge);
  HttpReader body = makeReader(HttpReader::Kind::Request);
  text = "POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n";
  CHECK_TRUE(body.read(text) == ReadState::Invalid);
  CHECK_TRUE(body.error() == ReadError::BodyTooLarge);
}

// Guards against a line of a chunk or trailer fields that fill the memory,
// because the parser consumes them only when they are complete.
TEST(HttpReader, LimitsChunkLinesAndTrailers) {
  const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n5\r\nhello\r\n";
  struct Case {
    const char *First;
    const char *Endless;
  };
  for (Case it : {Case{"5;", "x"}, Case{"0\r\n", "T: x\r\n"},
                  Case{"0\r\nT: ", "x"}, Case{"", "0"}}) {
    HttpReader reader = makeReader(HttpReader::Kind::Response);
    std::string buffer = start + it.First;
    ReadState state = reader.read(buffer);
    for (int i = 0; i < 3 * MaxHeaderBytes && state == ReadState::NeedMore;
         ++i) {
      buffer += it.Endless;
      state = reader.read(buffer);
    }
    CHECK_TRUE_TEXT(state == ReadState::Invalid, it.First);
  }
}

// Guards against heads and trailers of many short fields, which occupy many
// times their text, beside the budget.
TEST(HttpReader, FieldsAreNotChargedToTheBudget) {
  constexpr std::int64_t HeadBytes = 65'536;
  constexpr std::int64_t Limit = 4 << 20;
  for (const std::string start :
       {"HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"}) {
    auto budget = std::make_shared<ByteBudget>(Limit);
    std::vector<HttpReader> readers;
    std::size_t occupied = 0;
    for (int i = 0; i < 20; ++i) {
      readers.emplace_back(HttpReader::Kind::Response, HeadBytes, MaxBodyBytes,
                           budget);
      std::string text = start;
      while (text.size() < HeadBytes - 100)
        text += "A:\r\n";
      text += "\r\n";
      bool rejected = readers.back().read(text) == ReadState::Invalid;
      CHECK_EQUAL(rejected, readers.back().error() == ReadError::NoMemory);
      occupied +=
          readers.back().message().Fields.capacity() * sizeof(HttpField);
    }
    CHECK_TRUE(occupied > 0);
    CHECK_TRUE(occupied <= Limit);
  }
}

// Guards against a body that exceeds the budget while it is copied to a larger
// buffer.
TEST(HttpReader, GrowingBodyExceedsTheBudget) {
  constexpr std::int64_t Limit = 8 << 20;
  auto budget = std::make_shared<ByteBudget>(Limit);
  ByteReservation other(budget);
  CHECK_TRUE(other.grow(3 << 20));
  HttpReader reader(HttpReader::Kind::Response, MaxHeaderBytes, Limit, budget);
  std::string buffer = "HTTP/1.1 200 OK\r\n\r\n";
  std::size_t previous = 0;
  while (reader.read(buffer) == ReadState::NeedMore) {
    std::size_t capacity = reader.message().Body.capacity();
    if (capacity != previous)
      CHECK_TRUE(
          static_cast<std::int64_t>(reader.message().Body.size() + previous) +
              (3 << 20) <=
          Limit);
    previous = capacity;
    buffer = std::string(16'384, 'x');
  }
  CHECK_TRUE(reader.error() == ReadError::NoMemory);
  CHECK_TRUE(previous > 0);
}

// Guards against endless chunks of one byte, each with a long line, which are
// read until the deadline because the body stays small.
TEST(HttpReader, ChunkLinesAreUnbounded) {
  for (const std::string &chunk : {"1;" + std::string(3000, 'x') + "\r\na\r\n",
                                   std::string(3000, '0') + "1\r\na\r\n"}) {
    HttpReader reader = makeReader(HttpReader::Kind::Response);
    std::string buffer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    ReadState state = reader.read(buffer);
    for (int i = 0; i < 100 && state == ReadState::NeedMore; ++i) {
      buffer += chunk;
      state = reader.read(buffer);
    }
    CHECK_TRUE(state == ReadState::Invalid);
    CHECK_TRUE(reader.error() == ReadError::HeaderTooLarge);
  }
}

// Guards against rejecting a body that is sent in chunks of one byte.
TEST(HttpReader, ReadsChunksOfOneByte) {
  HttpReader reader = makeReader(HttpReader::Kind::Response);
  std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 50'000; ++i)
    buffer += "0001;a=b\r\nx\r\n";
  buffer += "0\r\n\r\n";
  CHECK_TRUE(reader.read(buffer) == ReadState::Complete);
  LONGS_EQUAL(50'000, reader.message().Body.size());
}

// Guards against accepting a status outside 100 to 599, such as 000.
TEST(HttpReader, StatusOutOfRangeIsAccepted) {
  for (const char *it :
       {"000", "001", "099", "600", "999", "99", "2000", "-10", "2x0", " 20"}) {
    HttpReader reader = makeReader(HttpReader::Kind::Response);
    std::string text =
        "HTTP/1.1 " + std::string(it) + " Odd\r\nContent-Length: 0\r\n\r\n";
    CHECK_TRUE_TEXT(reader.read(text) == ReadState::Invalid, it);
    CHECK_TRUE_TEXT(reader.error() == ReadError::Malformed, it);
  }
  for (const char *it : {"100", "200", "599"}) {
    HttpReader reader = makeReader(HttpReader::Kind::Response);
    std::string text =
        "HTTP/1.1 " + std::string(it) + " Odd\r\nContent-Length: 0\r\n\r\n";
    CHECK_TRUE_TEXT(reader.read(text) == ReadState::Complete, it);
  }
}

// Guards against a field name that contains a space or a control byte, which
// other implementations read as another field, as no field or as the body.
TEST(HttpReader, InvalidFieldNameIsAccepted) {
  const std::string length = "Content-Length: 2\r\n";
  for (const std::string &it : std::vector<std::string>{
           "X A: b\r\n", "X-A : b\r\n", "X-A\t: b\r\n",
           "Content-Length : 2\r\n", "X\x01-A: b\r\n", "X\x7f-A: b\r\n",
           std::string("X\0A: b\r\n", 8), "X\rA: b\r\n", "\rX-A: b\r\n",
           "\nX-A: b\r\n", "X-A b\r\n", ": b\r\n", "X\xc3\xa4: b\r\n",
           "X(A): b\r\n"})
    for (bool first : {true, false}) {
      HttpReader reader = makeReader(HttpReader::Kind::Response);
      std::string text = "HTTP/1.1 200 OK\r\n" +
                         (first ? it + length : length + it) +
                         "X-B: c\r\n\r\nok";
      CHECK_TRUE_TEXT(reader.read(text) == ReadState::Invalid, it.c_str());
    }
}

// Guards against passing on a field that continues on the next line with its
// line break, and against a continuation line without a field.
TEST(HttpReader, FoldedFieldKeepsItsLineBreak) {
  HttpReader reader = makeReader(HttpReader::Kind::Response);
  std::string text = "HTTP/1.1 200 OK\r\nX-A: b\r\n\t c\r\n"
                     "Content-Length:\r\n 2\r\n\r\nok";
  CHECK_TRUE(reader.read(text) == ReadState::Complete);
  STRCMP_EQUAL("b c", findField(reader.message(), "X-A")->c_str());
  STRCMP_EQUAL("ok", reader.message().Body.c_str());
  HttpReader first = makeReader(HttpReader::Kind::Response);
  text = "HTTP/1.1 200 OK\r\n X-A: b\r\nContent-Length: 2\r\n\r\nok";
  CHECK_TRUE(first.read(text) == ReadState::Invalid);
}

TEST_GROUP(HttpMessage){};

// Guards against hop-by-hop fields that are forwarded to another connection.
TEST(HttpMessage, RemovesHopByHopFields) {
  HttpMessage message;
  message.Fields = {{"Host", "h"},
                    {"connection", "close, X-Hop"},
                    {"X-Hop", "1"},
                    {"Keep-Alive", "timeout=5"},
                    {"Transfer-Encoding", "chunked"},
                    {"X-Other", "2"}};
  removeHopByHopFields(message);
  LONGS_EQUAL(2, message.Fields.size());
  CHECK_TRUE(findField(message, "x-other") != nullptr);
}

// Guards against two Content-Length fields in a forwarded message.
TEST(HttpMessage, HeadHasOneContentLength) {
  HttpMessage message;
  message.Method = "POST";
  message.Path = "/a?b=c";
  message.Body = "hello";
  STRCMP_EQUAL("POST /a?b=c HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
               requestHead(message).c_str());
}
