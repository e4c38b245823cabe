#include "http_reader.h"

#include <algorithm>
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/verb.hpp>

namespace savorylb {

namespace http = boost::beast::http;
using boost::beast::string_view;
using ParseError = boost::beast::error_code;

namespace {

/// Largest ratio of a chunked message's bytes to those of its body. A chunk of
/// one byte takes six.
constexpr std::size_t MaxChunkingRatio = 16;

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

} // namespace

struct HttpReader::Parser {
  virtual ~Parser() = default;
  virtual std::size_t put(const std::string &buffer, ParseError &ec) = 0;
  virtual void putEof(ParseError &ec) = 0;
  virtual bool done() const = 0;
  virtual bool headerDone() const = 0;
  virtual bool keepAlive() const = 0;
  virtual void skipBody() = 0;

  HttpMessage Message;
  ReadError Error = ReadError::None;
  bool Started = false;
  /// Whether Content-Length and Transfer-Encoding have been seen.
  bool HasLength = false;
  bool HasEncoding = false;
  bool OverBudget = false;
  std::size_t MaxHeaderBytes = 0;
  std::size_t ParsedBytes = 0;

  /// \returns whether the lines of the chunks take up most of the message.
  bool hasLongChunkLines() const {
    return ParsedBytes >
           2 * MaxHeaderBytes + MaxChunkingRatio * Message.Body.size();
  }

  /// Charges bytes to the budget, if there is one.
  /// \param copied bytes that are copied meanwhile and must fit as well.
  bool reserve(std::size_t bytes, std::size_t copied, ParseError &ec) {
    ByteReservation *memory = Message.Memory.get();
    if (!memory || (memory->fits(bytes + copied) && memory->grow(bytes)))
      return true;
    OverBudget = true;
    ec = http::error::body_limit;
    return false;
  }

  std::size_t appendBody(string_view part, ParseError &ec) {
    std::string &body = Message.Body;
    bool grows = body.capacity() - body.size() < part.size();
    if (!reserve(part.size(), grows ? body.size() : 0, ec))
      return 0;
    body.append(part.data(), part.size());
    return part.size();
  }
};

template <bool IsRequest>
struct HttpReader::TypedParser : Parser, http::basic_parser<IsRequest> {
  using Base = http::basic_parser<IsRequest>;

  std::size_t put(const std::string &buffer, ParseError &ec) override {
    return Base::put(boost::asio::buffer(buffer), ec);
  }
  void putEof(ParseError &ec) override { Base::put_eof(ec); }
  bool done() const override { return Base::is_done(); }
  bool headerDone() const override { return Base::is_header_done(); }
  bool keepAlive() const override { return Base::keep_alive(); }
  void skipBody() override { Base::skip(true); }

  void on_request_impl(http::verb, string_view method, string_view target,
                       int version, ParseError &ec) override {
    Message.Method.assign(method.data(), method.size());
    Message.Path.assign(target.data(), target.size());
    if (version != 10 && version != 11)
      ec = http::error::bad_version;
  }
  void on_response_impl(int code, string_view reason, int version,
                        ParseError &ec) override {
    Message.Status = code;
    Message.Reason.assign(reason.data(), reason.size());
    // The parser accepts any three digits.
    if (code < MinStatus || code > MaxStatus)
      ec = http::error::bad_status;
    if (version != 10 && version != 11)
      ec = http::error::bad_version;
  }
  void on_field_impl(http::field field, string_view name, string_view value,
                     ParseError &ec) override {
    bool length = field == http::field::content_length;
    bool encoding = field == http::field::transfer_encoding;
    // HTTP implementations disagree on messages with two lengths or with a
    // length and an encoding, which permits request smuggling.
    if ((length && (HasLength || HasEncoding)) ||
        (encoding && (HasLength || HasEncoding)))
      ec = http::error::bad_content_length;
    HasLength |= length;
    HasEncoding |= encoding;
    // Many short fields occupy far more than their text. The vector's capacity
    // is up to twice its size.
    if (ec ||
        !reserve(name.size() + value.size() + 2 * sizeof(HttpField), 0, ec))
      return;
    Message.Fields.emplace_back(std::string(name.data(), name.size()),
                                std::string(value.data(), value.size()));
  }
  void on_header_impl(ParseError &ec) override {
    // The parser takes a request with any other transfer coding for one
    // without a body.
    if (IsRequest && HasEncoding && !Base::chunked())
      ec = http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                         ParseError &ec) override {
    if (length && Message.Memory && !Message.Memory->fits(*length)) {
      OverBudget = true;
      ec = http::error::body_limit;
      return;
    }
    // Avoids reallocation for bodies of usual size; larger ones grow on demand,
    // as no budget is charged with bytes that have not arrived.
    constexpr std::uint64_t MaxReserveBytes = ByteReservation::SmallBytes;
    if (length)
      Message.Body.reserve(std::min(*length, MaxReserveBytes));
  }
  std::size_t on_body_impl(string_view body, ParseError &ec) override {
    return appendBody(body, ec);
  }
  void on_chunk_header_impl(std::uint64_t, string_view, ParseError &) override {
  }
  std::size_t on_chunk_body_impl(std::uint64_t, string_view body,
                                 ParseError &ec) override {
    return appendBody(body, ec);
  }
  void on_finish_impl(ParseError &) override {}
};

HttpReader::HttpReader(Kind kind, std::int64_t maxHeaderBytes,
                       std::int64_t maxBodyBytes,
                       const std::shared_ptr<ByteBudget> &budget) {
  auto prepare = [&](auto parser) {
    parser->header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
    parser->body_limit(static_cast<std::uint64_t>(maxBodyBytes));
    parser->eager(true);
    return parser;
  };
  if (kind == Kind::Request)
    Impl = prepare(std::make_unique<TypedParser<true>>());
  else
    Impl = prepare(std::make_unique<TypedParser<false>>());
  Impl->MaxHeaderBytes = static_cast<std::size_t>(maxHeaderBytes);
  if (budget)
    Impl->Message.Memory = std::make_shared<ByteReservation>(budget);
}

HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader &&) noexcept = default;
HttpReader &HttpReader::operator=(HttpReader &&) noexcept = default;

void HttpReader::expectNoBody() { Impl->skipBody(); }

ReadState HttpReader::read(std::string &buffer) {
  while (!Impl->done() && !buffer.empty()) {
    ParseError ec;
    std::size_t n = Impl->put(buffer, ec);
    Impl->Started = true;
    buffer.erase(0, n);
    Impl->ParsedBytes += n;
    if (ec == http::error::need_more) {
      if (n == 0)
        break;
      continue;
    }
    if (ec) {
      Impl->Error = Impl->OverBudget ? ReadError::NoMemory
                    : ec == http::error::header_limit
                        ? ReadError::HeaderTooLarge
                    : ec == http::error::body_limit ? ReadError::BodyTooLarge
                                                    : ReadError::Malformed;
      return ReadState::Invalid;
    }
    if (n == 0)
      break;
  }
  if (!Impl->done() &&
      (buffer.size() > Impl->MaxHeaderBytes || Impl->hasLongChunkLines())) {
    // The parser limits the header, but neither the line of a chunk nor the
    // trailer fields, and consumes them only when they are complete. Nor does
    // it limit the lines of all chunks together.
    Impl->Error = ReadError::HeaderTooLarge;
    return ReadState::Invalid;
  }
  if (!Impl->done())
    return ReadState::NeedMore;
  Impl->Message.KeepAlive = Impl->keepAlive();
  return ReadState::Complete;
}

ReadState HttpReader::readEof() {
  ParseError ec;
  Impl->putEof(ec);
  if (ec || !Impl->done()) {
    Impl->Error = ReadError::Malformed;
    return ReadState::Invalid;
  }
  Impl->Message.KeepAlive = false;
  return ReadState::Complete;
}

bool HttpReader::headComplete() const { return Impl->headerDone(); }
bool HttpReader::started() const { return Impl->Started; }
ReadError HttpReader::error() const { return Impl->Error; }
HttpMessage &HttpReader::message() { return Impl->Message; }

} // namespace savorylb
