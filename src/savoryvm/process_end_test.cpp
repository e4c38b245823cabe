#include "process_end.h"

#include "savorylb/metrics.h"

#include <new>
#include <stdexcept>

// Redefines operator new; must be included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace savorylb;

TEST_GROUP(ProcessEnd){};

// Guards against an exception in one handler that ends all requests of a VM.
TEST(ProcessEnd, ExceptionEndsTheOtherHandlers) {
  boost::asio::io_context io;
  std::int64_t before = counterValue("handlers_failed");
  int handled = 0;
  int reported = 0;
  for (int i = 0; i < 4; ++i)
    boost::asio::post(io, [&handled, i] {
      if (i % 2 == 0)
        throw std::runtime_error("handler " + std::to_string(i));
      ++handled;
    });
  runEventLoop(io, [&] { ++reported; });
  LONGS_EQUAL(2, handled);
  LONGS_EQUAL(2, reported);
  LONGS_EQUAL(2, counterValue("handlers_failed") - before);
}

// Guards against an exception in the callback that ends all requests of a VM.
TEST(ProcessEnd, ExceptionInTheCallbackLeavesTheLoop) {
  boost::asio::io_context io;
  int handled = 0;
  int reported = 0;
  boost::asio::post(io, [] { throw std::runtime_error("handler"); });
  boost::asio::post(io, [&] { ++handled; });
  runEventLoop(io, [&] {
    if (++reported == 1)
      throw std::bad_alloc();
  });
  LONGS_EQUAL(1, handled);
  LONGS_EQUAL(2, reported);
}
