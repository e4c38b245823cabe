#include "http_channel.h"

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

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
