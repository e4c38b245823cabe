#include "http_fixture.h"

#include "savorylb/clock.h"

using namespace savorylb;
using namespace savorylb::test;

namespace {

/// Larger than the buffers of both sockets, so that the upload is still being
/// written when the response arrives.
constexpr std::size_t UploadBytes = 32 << 20;

/// Fits into the sender's buffer, but not into that of a peer that does not
/// read.
constexpr std::size_t BufferedBytes = 32 << 10;

enum class ServerEnd { KeepOpen, ShutdownSend, Reset };

/// Accepts one connection and answers the first bytes of its request without
/// reading the rest.
struct EarlyServer {
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
  std::string Response;
  ServerEnd End;
  char First = 0;

  EarlyServer(asio::io_context &io, const std::string &address,
              std::string response, ServerEnd end)
      : Acceptor(io, *parseEndpoint(address)), Socket(io),
        Response(std::move(response)), End(end) {
    // The accepted socket inherits it; the sender then holds most of a request.
    Acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    Acceptor.async_accept(
        Socket, [this](const boost::system::error_code &) { answer(); });
  }

  void answer() {
    asio::async_read(
        Socket, asio::buffer(&First, 1),
        [this](const boost::system::error_code &, std::size_t) {
          boost::system::error_code ignored; // The client checks the outcome.
          asio::write(Socket, asio::buffer(Response), ignored);
          if (End == ServerEnd::ShutdownSend)
            Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
          if (End != ServerEnd::Reset)
            return;
          Socket.set_option(asio::socket_base::linger(true, 0), ignored);
          Socket.close(ignored);
        });
  }
};

struct Result {
  ExchangeOutcome Outcome = ExchangeOutcome::TimedOut;
  std::string Body;
};

/// Sends a request to a server that answers early.
Result exchange(const std::string &response, ServerEnd end,
                std::size_t bodyBytes) {
  asio::io_context io;
  std::string address = nextAddress();
  EarlyServer server(io, address, response, end);
  auto connection =
      std::make_shared<HttpConnection>(io.get_executor(), 1 << 20);
  Result result;
  bool done = false;
  connection->connect(address, Seconds(1), [&](bool connected) {
    CHECK_TRUE(connected);
    HttpMessage request;
    request.Method = "POST";
    request.Path = "/a";
    Exchange exchange;
    exchange.Head =
        std::make_shared<std::string>(requestHead(request, bodyBytes));
    exchange.Body = std::make_shared<std::string>(bodyBytes, 'x');
    exchange.Timeout = Seconds(3);
    exchange.Done = [&](ExchangeOutcome outcome, HttpMessage &message) {
      result = {outcome, message.Body};
      done = true;
    };
    connection->start(std::move(exchange));
  });
  MonoTime limit = monoNow() + Seconds(5);
  while (!done && monoNow() < limit)
    io.run_one_for(std::chrono::milliseconds(20));
  connection->close();
  return result;
}

const std::string NoLength = "HTTP/1.1 200 OK\r\n\r\nabcde";
const std::string WithLength =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";

} // namespace

TEST_GROUP(EarlyResponse){};

// Guards against taking the reset of a connection for the end of a body without
// a length. The failed write receives the error of the socket, after which a
// read reports an ordinary end of the stream.
TEST(EarlyResponse, ResetDuringTheUploadCompletesABody) {
  Result it = exchange(NoLength, ServerEnd::Reset, UploadBytes);
  CHECK_TRUE(it.Outcome == ExchangeOutcome::Broken);
}

// Guards against taking the end of the stream for the end of a body without a
// length while the request is still being written.
TEST(EarlyResponse, EndDuringTheUploadCompletesABody) {
  Result it = exchange(NoLength, ServerEnd::ShutdownSend, UploadBytes);
  CHECK_TRUE(it.Outcome == ExchangeOutcome::Broken);
}

// Guards against taking the end of the stream for the end of a body without a
// length while the system still holds a part of the request.
TEST(EarlyResponse, EndBeforeTheRequestIsReceivedCompletesABody) {
  Result it = exchange(NoLength, ServerEnd::ShutdownSend, BufferedBytes);
  CHECK_TRUE(it.Outcome == ExchangeOutcome::Broken);
}

// Guards against discarding an early response whose length shows that it is
// complete.
TEST(EarlyResponse, EarlyResponseWithALengthIsDiscarded) {
  for (ServerEnd end :
       {ServerEnd::KeepOpen, ServerEnd::ShutdownSend, ServerEnd::Reset}) {
    Result it = exchange(WithLength, end, UploadBytes);
    CHECK_TRUE(it.Outcome == ExchangeOutcome::Answered);
    STRCMP_EQUAL("abcde", it.Body.c_str());
  }
}

// Guards against discarding a response whose body ends with its connection
// after the request was sent.
TEST(EarlyResponse, BodyThatEndsWithTheConnectionIsDiscarded) {
  Result it = exchange(NoLength, ServerEnd::ShutdownSend, 0);
  CHECK_TRUE(it.Outcome == ExchangeOutcome::Answered);
  STRCMP_EQUAL("abcde", it.Body.c_str());
}
