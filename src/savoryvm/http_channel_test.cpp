#include "http_channel.h"
#include "savorylb/clock.h"
#include "scripted_server.h"

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;
using namespace savorylb::standin;

TEST_GROUP(HttpChannel){};

// Guards against access to a channel that was destroyed while it connected;
// found by memory checkers only.
TEST(HttpChannel, ConnectUsesDestroyedChannel) {
  asio::io_context io;
  bool called = false;
  auto channel =
      std::make_unique<HttpChannel>(io.get_executor(), "127.0.90.2:8499");
  HttpMessage request;
  request.Method = "GET";
  request.Path = "/";
  channel->call(request, Seconds(1), [&](const auto &) { called = true; });
  channel.reset();
  io.run_for(std::chrono::milliseconds(50));
  CHECK_FALSE(called);
}

// Guards against large responses on several channels that together exceed the
// memory of a VM.
TEST(HttpChannel, ResponsesOfAllChannelsAreUnbounded) {
  constexpr int Channels = 4;
  asio::io_context io;
  ScriptedServer server(io, [](const HttpMessage &, int) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\n\r\n" + std::string(6 << 20, 'x'),
                         ""};
  });
  CHECK_TRUE(server.listen("127.0.90.2:8498"));
  std::vector<std::unique_ptr<HttpChannel>> channels;
  int failed = 0;
  for (int i = 0; i < Channels; ++i) {
    channels.push_back(
        std::make_unique<HttpChannel>(io.get_executor(), "127.0.90.2:8498"));
    HttpMessage request;
    request.Method = "GET";
    request.Path = "/";
    channels.back()->call(
        request, Seconds(10),
        [&](const Result<HttpMessage> &it) { failed += !it; });
  }
  MonoTime end = monoNow() + Seconds(5);
  while (failed < Channels - 1 && monoNow() < end)
    io.run_for(std::chrono::milliseconds(5));
  LONGS_EQUAL(Channels - 1, failed);
}
